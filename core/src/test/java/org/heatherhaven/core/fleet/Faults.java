package org.heatherhaven.core.fleet;

import java.time.Duration;

/** What goes wrong between the nodes of a {@link SmallFleet}. */
public record Faults(
        double lossOfMessages,
        double doubling,
        Duration slowestMessage,
        double lossOfAnswers,
        double lateWrites,
        Duration latestWrite,
        double clockDrift) {

    public static final Faults NONE = new Faults(0, 0, Duration.ofMillis(5), 0, 0, Duration.ofMillis(5), 0);

    public static final Faults HARSH =
            new Faults(0.15, 0.1, Duration.ofMillis(600), 0.2, 0.1, Duration.ofSeconds(8), 0.02);
}
