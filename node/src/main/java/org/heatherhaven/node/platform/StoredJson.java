package org.heatherhaven.node.platform;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/** Reads and writes the JSON form of values stored on the platform. */
final class StoredJson {

    private static final ObjectMapper JSON = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new JavaTimeModule())
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private StoredJson() {}

    /** Writes a value as JSON. */
    static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException("can't write " + value.getClass(), e);
        }
    }

    /** Reads a value from JSON; throws PlatformException if the bytes are not a complete value of the type. */
    static <T> T read(byte[] value, Class<T> type) {
        try {
            T read = JSON.readValue(value, type);
            if (read != null) {
                return read;
            }
        } catch (IOException e) {
            throw notA(type);
        }
        // JSON's null is read as a null reference.
        throw notA(type);
    }

    private static PlatformException notA(Class<?> type) {
        return new PlatformException(
                PlatformException.Code.MALFORMED_RESPONSE, "an object is not a " + type.getSimpleName());
    }
}
