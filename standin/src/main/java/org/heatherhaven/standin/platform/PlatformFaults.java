package org.heatherhaven.standin.platform;

import java.time.Duration;

/**
 * How the platform misbehaves at present.
 *
 * @param down true during an outage: every call fails, and nothing takes effect
 * @param delay time added to every call
 * @param lostResponseFraction part of the writes, 0 to 1, that take effect although their caller hears of a failure
 */
public record PlatformFaults(boolean down, Duration delay, double lostResponseFraction) {

    /** A platform that works. */
    public static final PlatformFaults NONE = new PlatformFaults(false, Duration.ZERO, 0);
}
