package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * One page of the member table.
 *
 * @param from sender of the page
 * @param members members in order of their addresses
 * @param more true if another page follows, and is wanted
 */
public record MembersPage(NodeId from, List<Member> members, boolean more) implements PeerMessage {}
