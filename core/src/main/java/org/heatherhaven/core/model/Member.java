package org.heatherhaven.core.model;

/**
 * A node as the fleet knows it.
 *
 * @param id address of the node
 * @param epoch start of its process, milliseconds since 1970
 * @param refutation counts how often this process life has contradicted a suspicion
 * @param status what is believed about it
 * @param zone availability zone it runs in
 * @param service service of the target it guards, empty for a node without a target
 * @param slots number of calls its target works on at a time
 */
public record Member(NodeId id, long epoch, int refutation, MemberStatus status, Zone zone, String service, int slots) {

    /**
     * Copies this member with another status.
     *
     * @param next the new status
     * @return the changed member
     */
    public Member withStatus(MemberStatus next) {
        return new Member(id, epoch, refutation, next, zone, service, slots);
    }

    /**
     * Copies this member with a higher refutation count.
     *
     * @param next the new count
     * @param current the status to claim with it
     * @return the changed member
     */
    public Member withRefutation(int next, MemberStatus current) {
        return new Member(id, epoch, next, current, zone, service, slots);
    }

    /**
     * Copies this member with another start of its process.
     *
     * @param nextEpoch milliseconds since 1970
     * @return the changed member
     */
    public Member withEpoch(long nextEpoch) {
        return new Member(id, nextEpoch, refutation, status, zone, service, slots);
    }

    /**
     * Copies this member with another target.
     *
     * @param nextService service of the target, empty for none
     * @param nextSlots number of calls it works on at a time
     * @return the changed member
     */
    public Member withTarget(String nextService, int nextSlots) {
        return new Member(id, epoch, refutation + 1, status, zone, nextService, nextSlots);
    }

    /**
     * Decides between two accounts of the same node.
     *
     * @param other the account known so far
     * @return true if this account is newer and replaces the other
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
     * Names this process life as the owner of rights.
     *
     * @return node and epoch
     */
    public Owner owner() {
        return new Owner(id, epoch);
    }
}
