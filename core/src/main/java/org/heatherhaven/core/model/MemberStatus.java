package org.heatherhaven.core.model;

/** What the fleet believes about one process life of a node; later constants override earlier ones. */
public enum MemberStatus {
    ALIVE(true, false),
    DRAINING(false, false),
    SUSPECT(false, false),
    DEAD(false, true),
    LEFT(false, true);

    private final boolean takesWork;
    private final boolean gone;

    MemberStatus(boolean takesWork, boolean gone) {
        this.takesWork = takesWork;
        this.gone = gone;
    }

    /**
     * Tells whether new calls may be routed to such a member.
     *
     * @return true for members in service
     */
    public boolean takesWork() {
        return takesWork;
    }

    /**
     * Tells whether the member is out of the fleet; one held for dead may still refute it.
     *
     * @return true for members that left or failed
     */
    public boolean gone() {
        return gone;
    }
}
