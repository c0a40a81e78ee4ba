/**
 * Membership of the fleet: ring-based probes with suspicion and refutation, gossip carried by the probes, anti-entropy.
 */
package org.heatherhaven.core.logic.membership;
