package org.heatherhaven.core.logic.membership;

import org.heatherhaven.core.model.Member;

/**
 * A change of a member that is still to be sent to the neighbours.
 *
 * @param member the changed entry
 * @param remainingRounds number of rounds of probes that are still to contain it
 */
record MembershipChange(Member member, int remainingRounds) {}
