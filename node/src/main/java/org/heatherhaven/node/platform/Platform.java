package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: versioned objects with conditional writes.
 *
 * <p>Every call may fail with a {@link PlatformException}. A write that failed may have taken effect, or may still take
 * effect later.
 */
public interface Platform {

    /**
     * Reads an object.
     *
     * @param key key of the object
     * @return the object, or empty if it does not exist
     */
    CompletableFuture<Optional<StoredObject>> get(String key);

    /**
     * Reads an object as it was at most some seconds ago, at a lower cost to the platform where it offers that.
     *
     * @param key key of the object
     * @return the object, or empty if it did not exist
     */
    default CompletableFuture<Optional<StoredObject>> getStale(String key) {
        return get(key);
    }

    /**
     * Lists objects in the order of their keys.
     *
     * @param prefix prefix of the keys
     * @param after only objects with a greater key are listed; empty for no lower bound
     * @param limit maximum number of objects
     * @param maxWait how long the platform waits for a matching object to appear; zero to respond at once
     * @return the objects, empty if none appeared in time
     */
    CompletableFuture<List<StoredObject>> list(String prefix, String after, int limit, Duration maxWait);

    /**
     * Lists objects as they were at most some seconds ago, at a lower cost to the platform where it offers that.
     *
     * @param prefix prefix of the keys
     * @param after only objects with a greater key are listed; empty for no lower bound
     * @param limit maximum number of objects
     * @return the objects in the order of their keys
     */
    default CompletableFuture<List<StoredObject>> listStale(String prefix, String after, int limit) {
        return list(prefix, after, limit, Duration.ZERO);
    }

    /**
     * Creates an object.
     *
     * @param key key of the object
     * @param value content of the object, JSON
     * @return its version, or empty if an object with this key exists already
     */
    CompletableFuture<OptionalLong> create(String key, byte[] value);

    /**
     * Replaces the content of an object if its version is unchanged.
     *
     * @param key key of the object
     * @param value its new content, JSON
     * @param version the version that it must have
     * @return its new version, or empty if it has another version or does not exist
     */
    CompletableFuture<OptionalLong> update(String key, byte[] value, long version);

    /**
     * Deletes an object if its version is unchanged.
     *
     * @param key key of the object
     * @param version the version that it must have
     * @return true if the object was deleted
     */
    CompletableFuture<Boolean> delete(String key, long version);
}
