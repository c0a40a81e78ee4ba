package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * A call that waits for a token.
 *
 * @param call number of the call
 * @param waitsUntil how long it may wait
 */
record PendingCall(long call, Instant waitsUntil) {}
