package org.heatherhaven.node.platform;

/**
 * An object stored on the platform.
 *
 * @param key key of the object
 * @param version version of the object, increases with every write
 * @param value content, JSON
 */
public record StoredObject(String key, long version, byte[] value) {}
