package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * Status report of a target to its node.
 *
 * @param target process that reports
 * @param service service that it runs
 * @param slots number of calls that it runs concurrently
 * @param leaving true if it is about to stop and must get no new calls
 * @param startedMillis start time of the process, milliseconds since 1970
 * @param sequence number of the report within this process; grows with every report
 * @param coldStartRemaining time for which it still expects to be slow after its start
 */
public record TargetReport(
        TargetRef target,
        String service,
        int slots,
        boolean leaving,
        long startedMillis,
        long sequence,
        Duration coldStartRemaining) {}
