package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.Member;

/**
 * Membership changes and policy version, sent with every probe and its response.
 *
 * @param members recently changed member records
 * @param policyVersion highest policy version in force at the sender
 * @param confirmedAgoMillis time since a node last confirmed with the platform that no newer version exists,
 *     milliseconds
 */
public record GossipUpdate(List<Member> members, long policyVersion, long confirmedAgoMillis) {}
