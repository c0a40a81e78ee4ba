package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;

/**
 * Asks for one page of the member table.
 *
 * @param from the member that joins
 * @param after address after which the page starts, empty for the first page
 */
public record MembersPull(Member from, String after) implements PeerMessage {}
