package org.heatherhaven.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Versioned objects in memory; safe to use from any thread. */
public final class ObjectStore {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long lastVersion;
    private long reads;
    private long writes;

    /**
     * An object.
     *
     * @param key its key
     * @param version its version
     * @param value its content
     */
    public record StoredObject(String key, long version, byte[] value) {}

    /** How a conditional write ended. */
    public enum WriteOutcome {
        APPLIED,
        PRECONDITION_FAILED,
        NOT_FOUND
    }

    /**
     * Result of a conditional write.
     *
     * @param outcome how it ended
     * @param version new version, if it took effect
     */
    public record WriteResult(WriteOutcome outcome, long version) {}

    synchronized Optional<StoredObject> get(String key) {
        reads++;
        return Optional.ofNullable(objects.get(key));
    }

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

    synchronized WriteResult create(String key, byte[] value) {
        writes++;
        if (objects.containsKey(key)) {
            return new WriteResult(WriteOutcome.PRECONDITION_FAILED, 0);
        }
        return put(key, value);
    }

    synchronized WriteResult update(String key, byte[] value, long version) {
        writes++;
        StoredObject known = objects.get(key);
        if (known == null) {
            return new WriteResult(WriteOutcome.NOT_FOUND, 0);
        }
        return known.version() == version ? put(key, value) : new WriteResult(WriteOutcome.PRECONDITION_FAILED, 0);
    }

    private WriteResult put(String key, byte[] value) {
        lastVersion++;
        objects.put(key, new StoredObject(key, lastVersion, value));
        return new WriteResult(WriteOutcome.APPLIED, lastVersion);
    }

    synchronized WriteOutcome delete(String key, long version) {
        writes++;
        StoredObject known = objects.get(key);
        if (known == null) {
            return WriteOutcome.NOT_FOUND;
        }
        if (known.version() != version) {
            return WriteOutcome.PRECONDITION_FAILED;
        }
        objects.remove(key);
        return WriteOutcome.APPLIED;
    }

    /**
     * Number of reads so far, lists and waiting reads among them.
     *
     * @return reads
     */
    public synchronized long reads() {
        return reads;
    }

    /**
     * Number of writes so far.
     *
     * @return writes
     */
    public synchronized long writes() {
        return writes;
    }
}
