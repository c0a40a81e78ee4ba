package org.heatherhaven.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import org.heatherhaven.node.peer.AttemptStream;
import org.heatherhaven.node.peer.FlowControl;

/**
 * The body of a request on its way from the caller to the present attempt.
 *
 * <p>A small body is kept, so that another attempt can send it again; a larger one is passed on and dropped.
 */
final class RequestBody {

    private static final int REPLAY_LIMIT_BYTES = 64 * 1024;

    private final Channel caller;
    private final boolean expected;
    private final long maxBytes;
    private final CompositeByteBuf kept;
    private AttemptStream stream;
    private boolean complete;
    private boolean released;
    private boolean dropped;
    private boolean endSent;
    private long total;
    private int sent;
    private int window;

    RequestBody(Channel caller, boolean expected, long maxBytes) {
        this.caller = caller;
        this.expected = expected;
        this.maxBytes = maxBytes;
        this.kept = caller.alloc().compositeBuffer(Integer.MAX_VALUE);
    }

    boolean expected() {
        return expected;
    }

    boolean complete() {
        return complete;
    }

    /** Tells whether another attempt could send the whole body. */
    boolean resendable() {
        return !dropped;
    }

    /** Takes a piece; false if the body has grown too large. */
    boolean add(ByteBuf data, boolean last) {
        total += data.readableBytes();
        kept.addComponent(true, data);
        complete |= last;
        if (total > maxBytes) {
            return false;
        }
        pump();
        return true;
    }

    void startAttempt(AttemptStream next) {
        stream = next;
        window = FlowControl.BODY_WINDOW_BYTES;
        sent = 0;
        endSent = false;
        pump();
    }

    void credit(int bytes) {
        window += bytes;
        pump();
    }

    private void pump() {
        if (released) {
            return;
        }
        if (stream != null && expected) {
            int ready = Math.min(window, kept.readableBytes() - sent);
            if (ready > 0) {
                // A copy: dropping what was sent moves the bytes under any slice that still waits to be written.
                stream.sendChunk(kept.copy(kept.readerIndex() + sent, ready));
                sent += ready;
                window -= ready;
            }
            dropSent();
            if (complete && sent == kept.readableBytes() && !endSent) {
                endSent = true;
                stream.endBody();
            }
        }
        boolean backlog = kept.readableBytes() - sent > REPLAY_LIMIT_BYTES;
        caller.config().setAutoRead(!backlog);
    }

    private void dropSent() {
        if (total > REPLAY_LIMIT_BYTES && sent > 0) {
            dropped = true;
            kept.skipBytes(sent);
            kept.discardReadComponents();
            sent = 0;
        }
    }

    void release() {
        if (!released) {
            released = true;
            kept.release();
        }
        if (!complete) {
            // What still comes is read and thrown away until the connection is closed.
            caller.config().setAutoRead(true);
        }
    }
}
