package org.heatherhaven.standin.platform;

import java.time.Duration;

/**
 * Simulated faults of the platform.
 *
 * @param down true during an outage: every request fails with status 503 and has no effect
 * @param delay time added to every request
 * @param lostResponseFraction fraction of the writes, 0 to 1, that take effect although the connection is closed
 *     without a response
 */
public record PlatformFaults(boolean down, Duration delay, double lostResponseFraction) {

    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, Duration.ZERO, 0);
}
