package org.heatherhaven.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Versioned objects in memory; safe to use from any thread. */
public final class ObjectStore {

    private final TreeMap<String, Stored> objects = new TreeMap<>();
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
    public record Stored(String key, long version, byte[] value) {}

    /** How a conditional write ended. */
    public enum Condition {
        HELD,
        FAILED,
        ABSENT
    }

    /**
     * Result of a conditional write.
     *
     * @param condition how it ended
     * @param version new version, if it took effect
     */
    public record Written(Condition condition, long version) {}

    synchronized Optional<Stored> get(String key) {
        reads++;
        return Optional.ofNullable(objects.get(key));
    }

    synchronized List<Stored> list(String prefix, String after, int limit) {
        reads++;
        List<Stored> found = new ArrayList<>();
        String from = after.compareTo(prefix) < 0 ? prefix : after;
        for (Map.Entry<String, Stored> entry :
                objects.tailMap(from, !from.equals(after)).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || found.size() == limit) {
                break;
            }
            found.add(entry.getValue());
        }
        return found;
    }

    synchronized Written create(String key, byte[] value) {
        writes++;
        if (objects.containsKey(key)) {
            return new Written(Condition.FAILED, 0);
        }
        return put(key, value);
    }

    synchronized Written update(String key, byte[] value, long version) {
        writes++;
        Stored known = objects.get(key);
        if (known == null) {
            return new Written(Condition.ABSENT, 0);
        }
        return known.version() == version ? put(key, value) : new Written(Condition.FAILED, 0);
    }

    private Written put(String key, byte[] value) {
        lastVersion++;
        objects.put(key, new Stored(key, lastVersion, value));
        return new Written(Condition.HELD, lastVersion);
    }

    synchronized Condition delete(String key, long version) {
        writes++;
        Stored known = objects.get(key);
        if (known == null) {
            return Condition.ABSENT;
        }
        if (known.version() != version) {
            return Condition.FAILED;
        }
        objects.remove(key);
        return Condition.HELD;
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
