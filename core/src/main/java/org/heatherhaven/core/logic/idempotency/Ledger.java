package org.heatherhaven.core.logic.idempotency;

import java.time.Duration;
import java.time.Instant;

import org.heatherhaven.core.model.Owner;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The idempotency keys that the holder of a slot has permitted.
 *
 * @param term generation at which this process became holder
 * @param incompleteUntil time until which callers may still send keys that an earlier holder permitted and that this
 *     ledger lacks
 * @param entries entries by key
 * @param permitOrder keys in order of their permits, the oldest first
 */
record Ledger(long term, Instant incompleteUntil, PMap<String, Entry> entries, PVector<PermittedKey> permitOrder) {

    /**
     * A permitted key.
     *
     * @param requester process that received the permit
     * @param seq number of its permit request
     * @param at when it was permitted
     * @param ran true once a report says that the request ran
     */
    record Entry(Owner requester, long seq, Instant at, boolean ran) {}

    /**
     * A key with the time of its permit.
     *
     * @param key the key
     * @param at when it was permitted
     */
    record PermittedKey(String key, Instant at) {}

    static Ledger open(long term, Instant incompleteUntil) {
        return new Ledger(term, incompleteUntil, HashTreePMap.empty(), TreePVector.empty());
    }

    Ledger with(String key, Entry entry) {
        PVector<PermittedKey> keys =
                entries.containsKey(key) ? permitOrder : permitOrder.plus(new PermittedKey(key, entry.at()));
        return new Ledger(term, incompleteUntil, entries.plus(key, entry), keys);
    }

    Ledger without(String key) {
        return new Ledger(term, incompleteUntil, entries.minus(key), permitOrder);
    }

    /** Removes entries older than the retention time, after which callers no longer send their keys again. */
    Ledger withoutExpired(Duration retention, Instant now) {
        PMap<String, Entry> left = entries;
        PVector<PermittedKey> keys = permitOrder;
        while (!keys.isEmpty() && Duration.between(keys.get(0).at(), now).compareTo(retention) > 0) {
            PermittedKey oldest = keys.get(0);
            Entry entry = left.get(oldest.key());
            // A key whose permit was withdrawn and granted again is in the order twice; only the later position counts.
            if (entry != null && entry.at().equals(oldest.at())) {
                left = left.minus(oldest.key());
            }
            keys = keys.minus(0);
        }
        return keys == permitOrder ? this : new Ledger(term, incompleteUntil, left, keys);
    }
}
