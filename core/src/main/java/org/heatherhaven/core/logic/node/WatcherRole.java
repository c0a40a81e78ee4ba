package org.heatherhaven.core.logic.node;

import java.time.Instant;

/**
 * Tasks that a few members of each zone do for all.
 *
 * @param watcher true if this node watches the platform for policy versions
 * @param reviewAt when the duties are worked out anew
 */
public record WatcherRole(boolean watcher, Instant reviewAt) {}
