/**
 * Runs unrepeatable requests at most once: the holder of each slot keeps a ledger of the idempotency keys it permitted.
 */
package org.heatherhaven.core.logic.idempotency;
