package org.heatherhaven.node.target;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import org.asynchttpclient.request.body.Body;
import org.asynchttpclient.request.body.generator.FeedListener;
import org.asynchttpclient.request.body.generator.FeedableBodyGenerator;

/** A request body that arrives in chunks; each chunk is credited to its sender once the target's connection took it. */
final class TargetBody implements FeedableBodyGenerator {

    private final long length;
    private final IntConsumer consumed;
    private final Queue<ByteBuf> chunks = new ArrayDeque<>();
    private boolean complete;
    private boolean closed;
    private FeedListener listener;

    /**
     * Creates an empty body.
     *
     * @param length length in bytes, or -1 if it is not known
     * @param consumed told how many bytes were taken
     */
    TargetBody(long length, IntConsumer consumed) {
        this.length = length;
        this.consumed = consumed;
    }

    @Override
    public boolean feed(ByteBuf data, boolean isLast) {
        FeedListener waiting;
        synchronized (this) {
            if (closed) {
                data.release();
                return false;
            }
            chunks.add(data);
            complete |= isLast;
            waiting = listener;
        }
        if (waiting != null) {
            waiting.onContentAdded();
        }
        return true;
    }

    @Override
    public synchronized void setListener(FeedListener next) {
        listener = next;
    }

    @Override
    public Body createBody() {
        return new Body() {
            @Override
            public long getContentLength() {
                return length;
            }

            @Override
            public BodyState transferTo(ByteBuf target) {
                return transfer(target);
            }

            @Override
            public void close() {
                release();
            }
        };
    }

    private Body.BodyState transfer(ByteBuf target) {
        int taken = 0;
        Body.BodyState state;
        synchronized (this) {
            while (!chunks.isEmpty() && target.isWritable()) {
                ByteBuf chunk = chunks.peek();
                int bytes = Math.min(chunk.readableBytes(), target.writableBytes());
                target.writeBytes(chunk, bytes);
                taken += bytes;
                if (!chunk.isReadable()) {
                    chunks.poll().release();
                }
            }
            boolean over = chunks.isEmpty() && complete;
            state = taken > 0 ? Body.BodyState.CONTINUE : over ? Body.BodyState.STOP : Body.BodyState.SUSPEND;
        }
        if (taken > 0) {
            consumed.accept(taken);
        }
        return state;
    }

    synchronized void release() {
        closed = true;
        chunks.forEach(ByteBuf::release);
        chunks.clear();
    }
}
