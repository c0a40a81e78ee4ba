/** Unrepeatable requests run at most once: a ledger a slot, kept by the slot's one holder. */
package org.heatherhaven.core.logic.idempotency;
