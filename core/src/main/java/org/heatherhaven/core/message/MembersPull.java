package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;

/**
 * Asks for one page of the member table.
 *
 * @param from the member that asks
 * @param after address after which the page starts, empty for the first page
 * @param allPages true if the pages that follow are wanted too
 * @param digest digest of the asker's whole table, which needs no answer if it is that of the asked; 0 for none
 */
public record MembersPull(Member from, String after, boolean allPages, long digest) implements PeerMessage {}
