package org.heatherhaven.core.logic.membership;

import org.heatherhaven.core.model.Member;

/**
 * A change of a member that still has to be told.
 *
 * @param member the member
 * @param remainingRounds how many more messages shall carry it
 */
record MembershipChange(Member member, int remainingRounds) {}
