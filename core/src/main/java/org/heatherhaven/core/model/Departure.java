package org.heatherhaven.core.model;

/**
 * A process of a target that has reported that it leaves. It is stored on the platform, so that a restarted node does not
 * put the process in service again because of a report that arrives late.
 *
 * @param instance identifier of the process
 * @param startedMillis start time of the process, milliseconds since 1970; 0 if the node had no report of it
 * @param reportedMillis when the node received the report that it leaves, milliseconds since 1970
 */
public record Departure(String instance, long startedMillis, long reportedMillis) {

    /**
     * Returns whether a report comes from the process that left, or from one that started before it.
     *
     * @param report a report of the target
     * @return true if the report must not put the target in service
     */
    public boolean covers(TargetReport report) {
        if (report.target().instance().equals(instance)) {
            // A process may start again under the same identifier, later than the one that left.
            return report.startedMillis() <= (startedMillis > 0 ? startedMillis : reportedMillis);
        }
        return report.startedMillis() < startedMillis;
    }
}
