package org.heatherhaven.core.model;

import java.util.Locale;

/**
 * Name of an exclusive right: a share of a team's rate or a slot of a service's idempotency ledger.
 *
 * @param kind what the right is about
 * @param name team or service
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

    /** What a right is about. */
    public enum Kind {
        SHARE,
        SLOT
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + "/" + name + "/" + index;
    }
}
