package org.heatherhaven.core.model;

/** What the fleet believes about one process life of a node; later constants override earlier ones. */
public enum MemberStatus {
    ALIVE(true, false),
    DRAINING(false, false),
    SUSPECT(false, false),
    DEAD(false, true),
    LEFT(false, true);

    private final boolean acceptsCalls;
    private final boolean departed;

    MemberStatus(boolean takesWork, boolean gone) {
        this.acceptsCalls = takesWork;
        this.departed = gone;
    }

    /**
     * Tells whether new calls may be routed to such a member.
     *
     * @return true for members in service
     */
    public boolean acceptsCalls() {
        return acceptsCalls;
    }

    /**
     * Tells whether the member is out of the fleet; one held for dead may still refute it.
     *
     * @return true for members that left or failed
     */
    public boolean departed() {
        return departed;
    }
}
