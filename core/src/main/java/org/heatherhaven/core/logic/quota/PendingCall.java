package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * A call that waits for a token.
 *
 * @param call number of the call
 * @param waitsUntil time at which the call is refused if it still has no token
 */
record PendingCall(long call, Instant waitsUntil) {}
