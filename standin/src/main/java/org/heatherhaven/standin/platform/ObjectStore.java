package org.heatherhaven.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Stores versioned objects in memory and counts reads and writes; thread-safe. */
public final class ObjectStore {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long lastVersion;
    private long reads;
    private long writes;

    /**
     * An object of the store.
     *
     * @param key key of the object
     * @param version version of its latest write, greater than that of any earlier write of any object
     * @param value content
     */
    public record StoredObject(String key, long version, byte[] value) {}

    /** Outcome of a conditional write. */
    public enum WriteOutcome {
        /** The write took effect. */
        APPLIED,
        /** The object has another version, or exists although it was to be created. */
        PRECONDITION_FAILED,
        /** There is no object with the key. */
        NOT_FOUND
    }

    /**
     * Result of a conditional write.
     *
     * @param outcome whether the write took effect
     * @param version new version of the object, 0 if the write had no effect
     */
    public record WriteResult(WriteOutcome outcome, long version) {}

    synchronized Optional<StoredObject> get(String key) {
        reads++;
        return Optional.ofNullable(objects.get(key));
    }

    /** Returns up to {@code limit} objects with a key prefix and a key after {@code after}, sorted by key. */
    synchronized List<StoredObject> list(String prefix, String after, int limit) {
        reads++;
        List<StoredObject> found = new ArrayList<>();
        String from = after.compareTo(prefix) < 0 ? prefix : after;
        for (Map.Entry<String, StoredObject> entry :
                objects.tailMap(from, !from.equals(after)).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || found.size() == limit) {
                break;
            }
            found.add(entry.getValue());
        }
        return found;
    }

    /** Creates an object; fails if the key exists. */
    synchronized WriteResult create(String key, byte[] value) {
        writes++;
        if (objects.containsKey(key)) {
            return new WriteResult(WriteOutcome.PRECONDITION_FAILED, 0);
        }
        return put(key, value);
    }

    /** Replaces an object; fails unless it has the given version. */
    synchronized WriteResult update(String key, byte[] value, long version) {
        writes++;
        StoredObject existing = objects.get(key);
        if (existing == null) {
            return new WriteResult(WriteOutcome.NOT_FOUND, 0);
        }
        return existing.version() == version ? put(key, value) : new WriteResult(WriteOutcome.PRECONDITION_FAILED, 0);
    }

    private WriteResult put(String key, byte[] value) {
        lastVersion++;
        objects.put(key, new StoredObject(key, lastVersion, value));
        return new WriteResult(WriteOutcome.APPLIED, lastVersion);
    }

    /** Deletes an object; fails unless it has the given version. */
    synchronized WriteOutcome delete(String key, long version) {
        writes++;
        StoredObject existing = objects.get(key);
        if (existing == null) {
            return WriteOutcome.NOT_FOUND;
        }
        if (existing.version() != version) {
            return WriteOutcome.PRECONDITION_FAILED;
        }
        objects.remove(key);
        return WriteOutcome.APPLIED;
    }

    /**
     * Returns the number of reads so far; every poll of a waiting list request counts.
     *
     * @return number of reads
     */
    public synchronized long reads() {
        return reads;
    }

    /**
     * Returns the number of write attempts so far, including those without effect.
     *
     * @return number of writes
     */
    public synchronized long writes() {
        return writes;
    }
}
