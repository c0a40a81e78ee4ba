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

/** Turns payloads into MessagePack arrays and back. */
public final class WireCodec {

    private static final int MAX_DEPTH = 32;
    private static final int MAX_TEXT_CHARS = 1 << 20;

    private static final ObjectMapper MAPPER = mapper();
    private static final Map<FrameType, ObjectReader> READERS = new EnumMap<>(FrameType.class);
    private static final Map<FrameType, ObjectWriter> WRITERS = new EnumMap<>(FrameType.class);

    static {
        for (FrameType type : FrameType.values()) {
            type.payloadClass().ifPresent(payload -> {
                READERS.put(type, MAPPER.readerFor(payload));
                WRITERS.put(type, MAPPER.writerFor(payload));
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
        // Absent parts would turn up as null deep inside the reducer.
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        return mapper;
    }

    /**
     * Writes a payload.
     *
     * @param type type of the frame
     * @param body payload
     * @param out where it goes
     */
    public static void write(FrameType type, Object body, ByteBuf out) {
        ObjectWriter writer = WRITERS.get(type);
        if (writer == null) {
            return;
        }
        if (CallCodec.handles(type)) {
            writeCall(type, body, out);
            return;
        }
        try (OutputStream stream = new ByteBufOutputStream(out)) {
            writer.writeValue(stream, body);
        } catch (IOException e) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't write " + type, e);
        }
    }

    /**
     * Reads a payload.
     *
     * @param type type of the frame
     * @param in its bytes
     * @return the payload
     * @throws WireException if the bytes are not such a payload
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
            Object body = reader.readValue(stream);
            if (body == null) {
                throw new WireException(WireException.Code.BAD_PAYLOAD, "empty " + type);
            }
            return body;
        } catch (IOException | RuntimeException e) {
            // The library throws unchecked exceptions of its own for bytes that end too early.
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't read " + type, e);
        }
    }

    private static void writeCall(FrameType type, Object body, ByteBuf out) {
        try {
            CallCodec.write(type, body, out);
        } catch (IOException e) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't write " + type, e);
        }
    }

    private static Object readCall(FrameType type, ByteBuf in) {
        try {
            return CallCodec.read(type, in);
        } catch (IOException | RuntimeException e) {
            // The library throws unchecked exceptions of its own for bytes of another type.
            throw new WireException(WireException.Code.BAD_PAYLOAD, "can't read " + type, e);
        }
    }
}
