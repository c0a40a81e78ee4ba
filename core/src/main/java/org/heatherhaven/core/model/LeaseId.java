package org.heatherhaven.core.model;

import java.util.Locale;

/**
 * Identifies a lease, which at most one process holds at a time: on a share of a team's rate, or on a slot of a
 * service's idempotency ledger.
 *
 * @param kind what is leased
 * @param name name of the team or service
 * @param index number of the share or slot
 */
public record LeaseId(Kind kind, String name, int index) {
    private static final int PRIME = 31;

    @Override
    public boolean equals(Object other) {
        return other instanceof LeaseId that && kind == that.kind && name.equals(that.name) && index == that.index;
    }

    @Override
    public int hashCode() {
        return PRIME * (PRIME * kind.hashCode() + name.hashCode()) + index;
    }

    /**
     * What is leased: a share of a rate, or a slot of a ledger; the name is stored and the ordinal is sent to peers.
     */
    public enum Kind {
        SHARE,
        SLOT
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + "/" + name + "/" + index;
    }
}
