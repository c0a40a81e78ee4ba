package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * State of one idempotency key in a ledger.
 *
 * @param key hash of team and idempotency key
 * @param ran true once the request has been reported to have run
 * @param age time since the permit was granted
 */
public record LedgerEntry(String key, boolean ran, Duration age) {}
