package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * What a target says of itself to its node.
 *
 * @param target the process life that reports
 * @param service service that it runs
 * @param slots number of calls that it works on at a time
 * @param leaving true if it is about to stop and wants no new calls
 * @param startedMillis start of the process, milliseconds since 1970
 * @param sequence counts the reports of one process life
 * @param coldStartRemaining how much longer it expects to be slow after its start
 */
public record TargetReport(
        TargetRef target,
        String service,
        int slots,
        boolean leaving,
        long startedMillis,
        long sequence,
        Duration coldStartRemaining) {}
