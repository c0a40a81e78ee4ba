package org.heatherhaven.node.target;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.heatherhaven.core.effect.Effect.RunOffer;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.http.CallDialect;

/** Sends calls to the target over connections that are kept for the calls that follow. */
public final class TargetConnections {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final int MAX_LINE_CHARS = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024;
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    /** A call that must not run twice is lost if the target closes the connection under it. */
    private static final Duration MAX_IDLE_UNREPEATABLE = Duration.ofSeconds(1);

    private final CallDialect dialect;
    private final EventLoop loop;
    private final InstantSource clock;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();

    /**
     * Creates a set without connections.
     *
     * @param dialect how the target is spoken to
     * @param loop event loop of all its connections
     * @param clock the clock
     */
    public TargetConnections(CallDialect dialect, EventLoop loop, InstantSource clock) {
        this.dialect = dialect;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Sends a call.
     *
     * @param head the call
     * @param hasBody true if a body will be fed
     * @param order which process life shall run it, and how long
     * @param listener hears the answer
     * @return the call at the target
     */
    public TargetExchange send(CallHead head, boolean hasBody, RunOffer order, AnswerListener listener) {
        TargetExchange exchange = new TargetExchange(loop, dialect, head, hasBody, order, listener);
        EventLoops.run(loop, () -> {
            exchange.startTimer(order.timeout());
            sendOnIdleOrNew(exchange, order.target());
        });
        return exchange;
    }

    private void sendOnIdleOrNew(TargetExchange exchange, TargetRef target) {
        Duration limit = exchange.head().unrepeatable() ? MAX_IDLE_UNREPEATABLE : MAX_IDLE;
        while (!idle.isEmpty()) {
            TargetConnection kept = idle.peekFirst();
            boolean usable = kept.target().equals(target) && kept.isUsable(limit);
            if (!usable && kept.target().equals(target) && kept.isUsable(MAX_IDLE)) {
                // Younger than any other: all that follow are too old for this call, though not for others.
                break;
            }
            idle.removeFirst();
            if (usable) {
                kept.start(exchange);
                return;
            }
            kept.close();
        }
        sendOnNew(exchange, target);
    }

    private void sendOnNew(TargetExchange exchange, TargetRef target) {
        TargetConnection connection = new TargetConnection(target, this, clock);
        int colon = target.address().lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                target.address().substring(0, colon),
                Integer.parseInt(target.address().substring(colon + 1)));
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(new HttpClientCodec(MAX_LINE_CHARS, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        exchange.connectFailed();
                    } else if (exchange.ended()) {
                        connection.close();
                    } else {
                        connection.start(exchange);
                    }
                });
    }

    void idle(TargetConnection connection) {
        idle.addFirst(connection);
    }

    void connectionClosed(TargetConnection connection) {
        idle.remove(connection);
    }

    /** Closes the connections that no call uses. */
    public void close() {
        loop.execute(() -> {
            idle.forEach(TargetConnection::close);
            idle.clear();
        });
    }
}
