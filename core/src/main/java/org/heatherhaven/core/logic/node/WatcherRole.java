package org.heatherhaven.core.logic.node;

import java.time.Instant;

/**
 * Whether this node watches the platform on behalf of its zone; a few members of each zone do.
 *
 * @param watcher true if this node watches the platform for policy versions
 * @param reviewAt when the role is determined next
 */
public record WatcherRole(boolean watcher, Instant reviewAt) {}
