package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API.
 *
 * <p>Every call may fail with a {@link PlatformException}; a write that failed may have taken effect, or may still.
 */
public interface Platform {

    /**
     * Reads an object.
     *
     * @param key its key
     * @return the object, if it exists
     */
    CompletableFuture<Optional<StoredObject>> get(String key);

    /**
     * Reads objects in order of their keys.
     *
     * @param prefix what their keys begin with
     * @param after key after which to begin
     * @param limit largest number of objects
     * @param patience how long to wait for an object to appear, zero to answer at once
     * @return the objects
     */
    CompletableFuture<List<StoredObject>> list(String prefix, String after, int limit, Duration patience);

    /**
     * Creates an object.
     *
     * @param key its key
     * @param value its content
     * @return its version, or nothing if it exists already
     */
    CompletableFuture<OptionalLong> create(String key, byte[] value);

    /**
     * Updates an object.
     *
     * @param key its key
     * @param value its new content
     * @param version the version that it must still have
     * @return its new version, or nothing if it had another
     */
    CompletableFuture<OptionalLong> update(String key, byte[] value, long version);

    /**
     * Deletes an object.
     *
     * @param key its key
     * @param version the version that it must still have
     * @return true if it was deleted
     */
    CompletableFuture<Boolean> delete(String key, long version);
}
