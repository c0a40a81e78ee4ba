package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.Member;

/**
 * News that travels with every probe and answer.
 *
 * @param members recent changes of members
 * @param policyVersion highest policy version in force at the sender
 * @param confirmedAgoMillis time since some node confirmed with the platform that this version is the newest
 */
public record GossipUpdate(List<Member> members, long policyVersion, long confirmedAgoMillis) {}
