package org.heatherhaven.core.model;

/**
 * Status of one process of a node in the membership table. Of two records that are otherwise of equal age, the one with
 * the later constant applies.
 */
public enum MemberStatus {
    /** Runs and accepts new calls. */
    ALIVE(true, false),
    /** Finishes its calls before a planned stop, and accepts no new ones. */
    DRAINING(false, false),
    /** Left a probe unanswered, and can still refute the suspicion before it is declared dead. */
    SUSPECT(false, false),
    /** Was declared dead because it did not refute a suspicion in time. */
    DEAD(false, true),
    /** Left the fleet in a planned stop; final for this process. */
    LEFT(false, true);

    private final boolean acceptsCalls;
    private final boolean departed;

    MemberStatus(boolean acceptsCalls, boolean departed) {
        this.acceptsCalls = acceptsCalls;
        this.departed = departed;
    }

    /**
     * Returns whether new calls may be routed to such a member.
     *
     * @return true only for {@link #ALIVE}
     */
    public boolean acceptsCalls() {
        return acceptsCalls;
    }

    /**
     * Returns whether the member is out of the fleet. A member that was declared dead by mistake may still refute that.
     *
     * @return true for members that left or failed
     */
    public boolean departed() {
        return departed;
    }
}
