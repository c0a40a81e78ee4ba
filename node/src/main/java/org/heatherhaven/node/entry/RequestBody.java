package org.heatherhaven.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import org.heatherhaven.node.peer.AttemptStream;
import org.heatherhaven.node.peer.Windows;

/**
 * The body of a request on its way from the caller to the present attempt.
 *
 * <p>A small body is kept, so that another attempt can send it again; a larger one is passed on and dropped.
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
    private boolean sentBytesDropped;
    private boolean endSent;
    private long totalBytes;
    private int sentBytes;
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

    /** Tells whether another attempt could send the whole body. */
    boolean resendable() {
        return !sentBytesDropped;
    }

    /** Takes a piece; false if the body has grown too large. */
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

    void startAttempt(AttemptStream next) {
        stream = next;
        window = Windows.BODY_WINDOW_BYTES;
        sentBytes = 0;
        endSent = false;
        sendAvailable();
    }

    void credit(int bytes) {
        window += bytes;
        sendAvailable();
    }

    private void sendAvailable() {
        if (released) {
            return;
        }
        if (stream != null && expected) {
            int ready = Math.min(window, buffer.readableBytes() - sentBytes);
            if (ready > 0) {
                // A copy: dropping what was sent moves the bytes under any slice that still waits to be written.
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

    private void dropSent() {
        if (totalBytes > MAX_RESENDABLE_BYTES && sentBytes > 0) {
            sentBytesDropped = true;
            buffer.skipBytes(sentBytes);
            buffer.discardReadComponents();
            sentBytes = 0;
        }
    }

    void release() {
        if (!released) {
            released = true;
            buffer.release();
        }
        if (!complete) {
            // What still comes is read and thrown away until the connection is closed.
            caller.config().setAutoRead(true);
        }
    }
}
