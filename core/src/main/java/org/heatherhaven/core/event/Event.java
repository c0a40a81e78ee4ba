package org.heatherhaven.core.event;

/** An event; the reducer computes the new state and the effects from it. */
public sealed interface Event permits TrafficEvent, PlatformEvent, ControlEvent {}
