package org.heatherhaven.standin.target;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.heatherhaven.standin.http.AnswerFault;

/**
 * Simulated faults in the answers of a target.
 *
 * @param fractions fraction of the answers, 0 to 1, that each fault affects; their sum is at most 1
 */
public record TargetFaults(Map<AnswerFault, Double> fractions) {

    /** No faults. */
    public static final TargetFaults NONE = new TargetFaults(Map.of());

    /**
     * Checks and copies the fractions.
     *
     * @param fractions fraction of the answers, 0 to 1, that each fault affects
     */
    public TargetFaults {
        fractions = Map.copyOf(fractions);
        double sum =
                fractions.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum > 1 || fractions.values().stream().anyMatch(fraction -> !(fraction >= 0))) {
            throw new IllegalArgumentException("the fractions must be at least 0 and their sum at most 1");
        }
    }

    /**
     * Chooses the fault of an answer.
     *
     * @param random generator of the random choice; used twice
     * @return the fault, if the answer has one
     */
    Optional<AnswerFault.Choice> choose(SplittableRandom random) {
        double point = random.nextDouble();
        double cutAt = random.nextDouble();
        for (AnswerFault fault : AnswerFault.values()) {
            point -= fractions.getOrDefault(fault, 0.0);
            if (point < 0) {
                return Optional.of(new AnswerFault.Choice(fault, cutAt));
            }
        }
        return Optional.empty();
    }
}
