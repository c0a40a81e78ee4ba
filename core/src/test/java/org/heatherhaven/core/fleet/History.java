package org.heatherhaven.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.Refusal;

/** What happened in a run, in the order of true time. */
public final class History {

    /**
     * A root request was let in at an entry node for the first time.
     *
     * @param at when
     * @param team its team
     * @param node the entry node
     */
    public record Admission(Instant at, String team, String node) {}

    /**
     * A call was handed to a target.
     *
     * @param at when
     * @param requestId identifier of the call
     * @param rootId identifier of its root request
     * @param submission name given by the test
     * @param node node of the target
     */
    public record Execution(Instant at, String requestId, String rootId, String submission, String node) {}

    /**
     * A caller got a refusal.
     *
     * @param at when
     * @param submission name given by the test
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

    /** Level of a bucket that leaks at the rate; above the team's burst exactly if some window holds too many. */
    public double maxBucketLevel(String team, double rate) {
        return maxBucketLevel(
                admissions.stream()
                        .filter(admission -> admission.team().equals(team))
                        .toList(),
                rate);
    }

    /** The same for admissions of one team, in the order of time. */
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
