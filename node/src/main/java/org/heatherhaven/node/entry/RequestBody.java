package org.heatherhaven.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import org.heatherhaven.node.peer.AttemptStream;
import org.heatherhaven.node.peer.FlowControl;

/**
 * Passes the body of a request from the caller to the current attempt.
 *
 * <p>A body of at most 64 KiB stays buffered, so that another attempt can send it again; of a larger body, what was
 * sent is dropped. Reading from the caller is paused while too many bytes wait to be sent.
 */
final class RequestBody {

    private static final int MAX_RESENDABLE_BYTES = 64 * 1024;

    private final Channel caller;
    private final boolean expected;
    private final long maxBytes;
    private final CompositeByteBuf buffer;
    private AttemptStream stream;
    private boolean complete;
    private boolean released;

    /** True once sent bytes were removed from the buffer, so that no other attempt can send them. */
    private boolean sentBytesDropped;

    private boolean endSent;
    private long totalBytes;

    /** Bytes at the start of the buffer that were sent to the current attempt. */
    private int sentBytes;

    /** Bytes that may be sent to the current attempt before it gives more credit. */
    private int window;

    RequestBody(Channel caller, boolean expected, long maxBytes) {
        this.caller = caller;
        this.expected = expected;
        this.maxBytes = maxBytes;
        this.buffer = caller.alloc().compositeBuffer(Integer.MAX_VALUE);
    }

    boolean expected() {
        return expected;
    }

    boolean complete() {
        return complete;
    }

    /** Returns true if another attempt can send the whole body. */
    boolean resendable() {
        return !sentBytesDropped;
    }

    /** Adds a piece of the body; returns false if the body exceeds its limit. */
    boolean add(ByteBuf data, boolean last) {
        totalBytes += data.readableBytes();
        buffer.addComponent(true, data);
        complete |= last;
        if (totalBytes > maxBytes) {
            return false;
        }
        sendAvailable();
        return true;
    }

    /** Sends the body from its start to another attempt, with a full window. */
    void startAttempt(AttemptStream next) {
        stream = next;
        window = FlowControl.BODY_WINDOW_BYTES;
        sentBytes = 0;
        endSent = false;
        sendAvailable();
    }

    /** Keeps what arrives from now on for the next attempt, as the current one has ended. */
    void endAttempt() {
        stream = null;
        sentBytes = 0;
    }

    /** Enlarges the window of the current attempt. */
    void credit(int bytes) {
        window += bytes;
        sendAvailable();
    }

    /** Sends what is buffered as far as the window allows, then the end of the body once it is complete. */
    private void sendAvailable() {
        if (released) {
            return;
        }
        if (stream != null && expected) {
            int ready = Math.min(window, buffer.readableBytes() - sentBytes);
            if (ready > 0) {
                // Copied, as dropping sent bytes moves the memory under slices that are not yet written.
                stream.sendChunk(buffer.copy(buffer.readerIndex() + sentBytes, ready));
                sentBytes += ready;
                window -= ready;
            }
            dropSent();
            if (complete && sentBytes == buffer.readableBytes() && !endSent) {
                endSent = true;
                stream.endBody();
            }
        }
        boolean backlog = buffer.readableBytes() - sentBytes > MAX_RESENDABLE_BYTES;
        caller.config().setAutoRead(!backlog);
    }

    /** Drops the bytes sent of a body that is too large to be sent again. */
    private void dropSent() {
        if (totalBytes > MAX_RESENDABLE_BYTES && sentBytes > 0) {
            sentBytesDropped = true;
            buffer.skipBytes(sentBytes);
            buffer.discardReadComponents();
            sentBytes = 0;
        }
    }

    /** Releases the buffer at the end of the call. */
    void release() {
        if (!released) {
            released = true;
            buffer.release();
        }
        if (!complete) {
            // The rest of the body is read and discarded until the connection is closed.
            caller.config().setAutoRead(true);
        }
    }
}
