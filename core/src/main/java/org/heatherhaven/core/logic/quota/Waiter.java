package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * A call that waits for a token.
 *
 * @param call number of the call
 * @param until how long it may wait
 */
record Waiter(long call, Instant until) {}
