package org.heatherhaven.core.event;

/** Something that happened; the reducer turns it into new state and effects. */
public sealed interface Event permits TrafficEvent, PlatformEvent, ControlEvent {}
