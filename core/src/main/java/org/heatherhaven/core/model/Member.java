package org.heatherhaven.core.model;

/**
 * Describes a node in the membership table.
 *
 * @param id address that peers connect to
 * @param epoch start time of its process, milliseconds since 1970; distinguishes restarts
 * @param refutation incarnation number; the process increments it to override older records about itself, for example a
 *     suspicion
 * @param status status of the process as seen by the fleet
 * @param zone availability zone it runs in
 * @param service service of its target; empty for a node without a target
 * @param slots number of calls its target runs concurrently
 */
public record Member(NodeId id, long epoch, int refutation, MemberStatus status, Zone zone, String service, int slots) {

    /**
     * Returns a copy with another status.
     *
     * @param next the new status
     * @return the changed member
     */
    public Member withStatus(MemberStatus next) {
        return new Member(id, epoch, refutation, next, zone, service, slots);
    }

    /**
     * Returns a copy with a higher refutation count, which overrides older records of the same process.
     *
     * @param next the new count
     * @param current the status to announce with it
     * @return the changed member
     */
    public Member withRefutation(int next, MemberStatus current) {
        return new Member(id, epoch, next, current, zone, service, slots);
    }

    /**
     * Returns a copy with another start time of its process.
     *
     * @param nextEpoch milliseconds since 1970
     * @return the changed member
     */
    public Member withEpoch(long nextEpoch) {
        return new Member(id, nextEpoch, refutation, status, zone, service, slots);
    }

    /**
     * Returns a copy with another target and an incremented refutation count, so that it overrides older records.
     *
     * @param nextService service of the target, empty for none
     * @param nextSlots number of calls it runs concurrently
     * @return the changed member
     */
    public Member withTarget(String nextService, int nextSlots) {
        return new Member(id, epoch, refutation + 1, status, zone, nextService, nextSlots);
    }

    /**
     * Returns whether this record is newer than another one of the same node: by epoch, then {@code LEFT} is newer than
     * any other status, then refutation, then status.
     *
     * @param other the other record
     * @return true if this record is newer and replaces the other
     */
    public boolean supersedes(Member other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch;
        }
        if ((status == MemberStatus.LEFT) != (other.status == MemberStatus.LEFT)) {
            return status == MemberStatus.LEFT;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return status.ordinal() > other.status.ordinal();
    }

    /**
     * Returns the identity under which this process holds leases.
     *
     * @return node and epoch
     */
    public Owner owner() {
        return new Owner(id, epoch);
    }
}
