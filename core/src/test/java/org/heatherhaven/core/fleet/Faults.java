package org.heatherhaven.core.fleet;

import java.time.Duration;

/**
 * Faults injected between the nodes of a {@link SmallFleet} and between nodes and the platform.
 *
 * @param messageLoss fraction of the control messages that are lost, 0 to 1
 * @param messageDuplication fraction of the control messages that are delivered twice, 0 to 1
 * @param maxMessageDelay maximum delay of a control message
 * @param responseLoss fraction of the platform's responses that are lost, 0 to 1
 * @param delayedWrites fraction of the writes to the platform that take effect after their sender has timed out, 0 to 1
 * @param maxWriteDelay maximum delay until such a write takes effect
 * @param clockDrift maximum relative deviation of a node's clock rate from true time, 0 to 1
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
