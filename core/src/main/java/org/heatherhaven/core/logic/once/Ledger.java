package org.heatherhaven.core.logic.once;

import java.time.Duration;
import java.time.Instant;

import org.heatherhaven.core.model.Owner;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What the holder of a slot knows of its idempotency keys.
 *
 * @param term generation at which this process became holder
 * @param blindUntil until when keys may have been permitted that this ledger does not know
 * @param entries entries by key
 * @param order keys in order of their permits, the oldest first
 */
record Ledger(long term, Instant blindUntil, PMap<String, Entry> entries, PVector<Key> order) {

    /**
     * A permitted key.
     *
     * @param asker process that was permitted to run it
     * @param seq number of its question
     * @param at when it was permitted
     * @param ran true once it is known to have run
     */
    record Entry(Owner asker, long seq, Instant at, boolean ran) {}

    /**
     * A key with the time of its permit.
     *
     * @param key the key
     * @param at when it was permitted
     */
    record Key(String key, Instant at) {}

    static Ledger open(long term, Instant blindUntil) {
        return new Ledger(term, blindUntil, HashTreePMap.empty(), TreePVector.empty());
    }

    Ledger with(String key, Entry entry) {
        PVector<Key> keys = entries.containsKey(key) ? order : order.plus(new Key(key, entry.at()));
        return new Ledger(term, blindUntil, entries.plus(key, entry), keys);
    }

    Ledger without(String key) {
        return new Ledger(term, blindUntil, entries.minus(key), order);
    }

    /** Drops entries whose callers no longer send them again. */
    Ledger expired(Duration memory, Instant now) {
        PMap<String, Entry> left = entries;
        PVector<Key> keys = order;
        while (!keys.isEmpty() && Duration.between(keys.get(0).at(), now).compareTo(memory) > 0) {
            Key oldest = keys.get(0);
            Entry entry = left.get(oldest.key());
            // A key that was released and permitted again stands twice in the order; the later place counts.
            if (entry != null && entry.at().equals(oldest.at())) {
                left = left.minus(oldest.key());
            }
            keys = keys.minus(0);
        }
        return keys == order ? this : new Ledger(term, blindUntil, left, keys);
    }
}
