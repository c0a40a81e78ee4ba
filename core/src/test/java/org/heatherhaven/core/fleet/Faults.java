package org.heatherhaven.core.fleet;

import java.time.Duration;

/**
 * What goes wrong between the nodes of a {@link SmallFleet}.
 *
 * @param messageLoss part of the control messages that get lost, 0 to 1
 * @param messageDuplication part of the control messages that arrive twice, 0 to 1
 * @param maxMessageDelay longest time that a control message takes
 * @param responseLoss part of the platform's answers that get lost, 0 to 1
 * @param delayedWrites part of the platform's writes that take effect after their sender has given up, 0 to 1
 * @param maxWriteDelay longest time until such a write takes effect
 * @param clockDrift how much faster or slower than true time a node's clock may run, 0 to 1
 */
public record Faults(
        double messageLoss,
        double messageDuplication,
        Duration maxMessageDelay,
        double responseLoss,
        double delayedWrites,
        Duration maxWriteDelay,
        double clockDrift) {

    public static final Faults NONE = new Faults(0, 0, Duration.ofMillis(5), 0, 0, Duration.ofMillis(5), 0);

    public static final Faults HARSH =
            new Faults(0.15, 0.1, Duration.ofMillis(600), 0.2, 0.1, Duration.ofSeconds(8), 0.02);
}
