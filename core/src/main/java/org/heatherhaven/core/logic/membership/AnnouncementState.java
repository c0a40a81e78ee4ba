package org.heatherhaven.core.logic.membership;

import java.time.Instant;

/**
 * What this node knows of its own announcement on the platform.
 *
 * @param written true once this process has written the announcement
 * @param nextCheckAt when the announcement is written or checked next
 * @param doubtfulUntil until when the announcement may have been removed, so that it is checked more often
 */
public record AnnouncementState(boolean written, Instant nextCheckAt, Instant doubtfulUntil) {

    /**
     * Returns the state of a process that has not announced itself.
     *
     * @param now time of the node's start
     * @return the state
     */
    public static AnnouncementState start(Instant now) {
        return new AnnouncementState(false, now, now);
    }

    AnnouncementState withNextCheckAt(Instant at) {
        return new AnnouncementState(written, at, doubtfulUntil);
    }
}
