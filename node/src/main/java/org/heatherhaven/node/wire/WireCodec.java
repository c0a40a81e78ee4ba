package org.heatherhaven.node.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.EnumMap;
import java.util.Map;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the payloads of frames as MessagePack.
 *
 * <p>Records are written as arrays, so the order and the types of their components are the wire format, and their names
 * are not. Payloads of calls and loans, which are the frequent ones, are encoded by the faster {@code CallCodec}.
 */
public final class WireCodec {

    private static final int MAX_DEPTH = 32;
    private static final int MAX_TEXT_CHARS = 1 << 20;

    private static final ObjectMapper MAPPER = mapper();
    private static final Map<FrameType, ObjectReader> READERS = new EnumMap<>(FrameType.class);
    private static final Map<FrameType, ObjectWriter> WRITERS = new EnumMap<>(FrameType.class);

    static {
        for (FrameType type : FrameType.values()) {
            type.payloadClass().ifPresent(payloadClass -> {
                READERS.put(type, MAPPER.readerFor(payloadClass));
                WRITERS.put(type, MAPPER.writerFor(payloadClass));
            });
        }
    }

    private WireCodec() {}

    private static ObjectMapper mapper() {
        MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(StreamReadConstraints.builder()
                .maxNestingDepth(MAX_DEPTH)
                .maxStringLength(MAX_TEXT_CHARS)
                .build());
        ObjectMapper mapper = new ObjectMapper(factory);
        mapper.registerModule(new Jdk8Module());
        mapper.registerModule(new JavaTimeModule());
        mapper.setAnnotationIntrospector(new JsonArrayFormat());
        // A missing component is rejected here; otherwise it would surface as a null in the reducer.
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        return mapper;
    }

    /**
     * Encodes a payload; writes nothing if frames of this type carry none.
     *
     * @param type type of the frame
     * @param payload payload of the class that belongs to the type
     * @param out buffer to append to
     * @throws WireException if the payload can't be encoded
     */
    public static void write(FrameType type, Object payload, ByteBuf out) {
        ObjectWriter writer = WRITERS.get(type);
        if (writer == null) {
            return;
        }
        if (CallCodec.handles(type)) {
            writeCall(type, payload, out);
            return;
        }
        try (OutputStream stream = new ByteBufOutputStream(out)) {
            writer.writeValue(stream, payload);
        } catch (IOException e) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't encode the payload of " + type, e);
        }
    }

    /**
     * Decodes a payload.
     *
     * @param type type of the frame
     * @param in bytes of the payload
     * @return the payload, or an empty string if frames of this type carry none
     * @throws WireException if the bytes are not a payload of this type
     */
    public static Object read(FrameType type, ByteBuf in) {
        ObjectReader reader = READERS.get(type);
        if (reader == null) {
            return "";
        }
        if (CallCodec.handles(type)) {
            return readCall(type, in);
        }
        try (InputStream stream = new ByteBufInputStream(in)) {
            Object payload = reader.readValue(stream);
            if (payload == null) {
                throw new WireException(WireException.Code.BAD_PAYLOAD, "the payload of " + type + " is nil");
            }
            return payload;
        } catch (IOException | RuntimeException e) {
            // The library throws unchecked exceptions for truncated input.
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't decode the payload of " + type, e);
        }
    }

    private static void writeCall(FrameType type, Object payload, ByteBuf out) {
        try {
            CallCodec.write(type, payload, out);
        } catch (IOException e) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't encode the payload of " + type, e);
        }
    }

    private static Object readCall(FrameType type, ByteBuf in) {
        try {
            return CallCodec.read(type, in);
        } catch (IOException | RuntimeException e) {
            // The library throws unchecked exceptions for values of another type than the expected one.
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't decode the payload of " + type, e);
        }
    }
}
