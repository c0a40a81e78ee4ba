package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;

/**
 * Requests a page of the member table.
 *
 * @param from member that sends the request
 * @param after address after which the page starts, empty for the first page
 * @param allPages true to receive the following pages too
 * @param digest digest of the sender's complete table, or 0 for none; a receiver whose table has the same digest does
 *     not respond
 */
public record MembersPull(Member from, String after, boolean allPages, long digest) implements PeerMessage {}
