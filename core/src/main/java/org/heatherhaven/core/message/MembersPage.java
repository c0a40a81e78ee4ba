package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * One page of the member table.
 *
 * @param from sender of the page
 * @param members members ordered by address
 * @param more true if more members follow and all pages were requested
 */
public record MembersPage(NodeId from, List<Member> members, boolean more) implements PeerMessage {}
