package org.heatherhaven.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.Refusal;

/** Records what happened in a run, in the order of true time. */
public final class History {

    /**
     * A root request was admitted at an entry node; retries are not recorded.
     *
     * @param at true time
     * @param team team of the request
     * @param node the entry node
     */
    public record Admission(Instant at, String team, String node) {}

    /**
     * A call was sent to a target.
     *
     * @param at true time
     * @param requestId identifier of the call
     * @param rootId identifier of its root request
     * @param submission name that the test gave the call
     * @param node node of the target
     */
    public record Execution(Instant at, String requestId, String rootId, String submission, String node) {}

    /**
     * A caller received a refusal.
     *
     * @param at true time
     * @param submission name that the test gave the call
     * @param refusal the refusal
     */
    public record Refused(Instant at, String submission, Refusal refusal) {}

    final List<Admission> admissions = new ArrayList<>();
    final List<Execution> executions = new ArrayList<>();
    final List<Refused> refusals = new ArrayList<>();
    final List<String> answered = new ArrayList<>();
    final Map<String, String> submissionOfRequest = new HashMap<>();
    int retries;

    public List<Admission> admissions() {
        return admissions;
    }

    /**
     * Returns the highest level of a leaky bucket fed by a team's admissions. It exceeds the team's burst exactly if
     * some time window holds more admissions than rate and burst allow.
     */
    public double maxBucketLevel(String team, double rate) {
        return maxBucketLevel(
                admissions.stream()
                        .filter(admission -> admission.team().equals(team))
                        .toList(),
                rate);
    }

    /** Returns the same for the given admissions of one team, which are in the order of time. */
    public static double maxBucketLevel(List<Admission> admissions, double rate) {
        double level = 0;
        double most = 0;
        Instant last = Instant.MIN;
        for (Admission admission : admissions) {
            if (!last.equals(Instant.MIN)) {
                double seconds = Duration.between(last, admission.at()).toNanos() / 1e9;
                level = Math.max(0, level - seconds * rate);
            }
            level += 1;
            most = Math.max(most, level);
            last = admission.at();
        }
        return most;
    }

    public List<Execution> executions() {
        return executions;
    }

    public List<Refused> refusals() {
        return refusals;
    }

    public int retries() {
        return retries;
    }
}
