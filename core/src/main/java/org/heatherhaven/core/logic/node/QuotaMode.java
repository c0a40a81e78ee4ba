package org.heatherhaven.core.logic.node;

/** Ways of dividing the teams' rates that can be compared with each other. */
public enum QuotaMode {
    /** Members own standing shares, worked out by all alike; nothing is kept on the platform. */
    PLACED,
    /** Shares are exclusive rights with a holder and a standby. */
    LEASED
}
