package org.heatherhaven.core.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.Refusal;

/** What happened in a run, in the order of true time. */
public final class History {

    /** A root request was let in at an entry node for the first time. */
    public record Admission(Instant at, String team, String node) {}

    /** A call was handed to a target. */
    public record Execution(Instant at, String requestId, String rootId, String submission, String node) {}

    /** A caller got a refusal. */
    public record Refused(Instant at, String submission, Refusal refusal) {}

    public final List<Admission> admissions = new ArrayList<>();
    public final List<Execution> executions = new ArrayList<>();
    public final List<Refused> refusals = new ArrayList<>();
    public final List<String> answered = new ArrayList<>();
    public final Map<String, String> submissionOfRequest = new HashMap<>();
    public final List<String> broken = new ArrayList<>();
    public int retries;

    public long executionsOf(String submission) {
        return executions.stream()
                .filter(run -> run.submission().equals(submission))
                .count();
    }
}
