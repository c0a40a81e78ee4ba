package org.heatherhaven.core.logic.node;

/** How the rates of the teams are divided among the nodes; the modes can be compared with each other. */
public enum QuotaMode {
    /** Every node computes the same owner of each share from the members; nothing is stored on the platform. */
    PLACED,
    /** Shares are exclusive leases with a holder and a standby, stored on the platform. */
    LEASED
}
