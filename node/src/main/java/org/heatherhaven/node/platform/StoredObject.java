package org.heatherhaven.node.platform;

/**
 * An object of the platform.
 *
 * @param key its key
 * @param version its version, growing with every write
 * @param value its content, JSON
 */
public record StoredObject(String key, long version, byte[] value) {}
