package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * What a ledger knows about one idempotency key.
 *
 * @param key hash of team and idempotency key
 * @param ran true once the request is known to have run
 * @param age time since the permit was given
 */
public record LedgerEntry(String key, boolean ran, Duration age) {}
