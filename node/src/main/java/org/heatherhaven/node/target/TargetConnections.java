package org.heatherhaven.node.target;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.heatherhaven.core.effect.Effect.RunOffer;
import org.heatherhaven.core.event.TrafficEvent.TargetAnomalySeen;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.http.CallDialect;

/** Pool of connections to the target: sends calls and reuses idle connections. */
public final class TargetConnections {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    /** Longest idle time after which a connection is reused. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    /**
     * Stricter limit for an unrepeatable call: if the target closes the idle connection as the call is sent, the call
     * can't be sent again.
     */
    private static final Duration MAX_IDLE_UNREPEATABLE = Duration.ofSeconds(1);

    private final CallDialect dialect;
    private final EventLoop loop;
    private final InstantSource clock;
    private final Consumer<TargetAnomalySeen> anomalies;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();

    /**
     * Creates a pool without connections.
     *
     * @param dialect conventions of HTTP headers and statuses between node and target
     * @param loop event loop of all connections of the pool
     * @param clock measures how long connections have been idle
     * @param anomalies receives what the target sends beside or instead of the response to a call
     */
    public TargetConnections(
            CallDialect dialect, EventLoop loop, InstantSource clock, Consumer<TargetAnomalySeen> anomalies) {
        this.dialect = dialect;
        this.loop = loop;
        this.clock = clock;
        this.anomalies = anomalies;
    }

    /**
     * Sends a call to the target.
     *
     * @param head head of the call
     * @param hasBody true if the body follows by {@link TargetExchange#addBody}
     * @param effect target process that shall run the call, and time limit
     * @param listener receives the answer
     * @return the exchange with the target
     */
    public TargetExchange send(CallHead head, boolean hasBody, RunOffer effect, AnswerListener listener) {
        TargetExchange exchange = new TargetExchange(loop, dialect, head, hasBody, effect, listener);
        EventLoops.run(loop, () -> {
            exchange.startTimer(effect.timeout());
            sendOnIdleOrNew(exchange, effect.target());
        });
        return exchange;
    }

    /**
     * Sends a call on the idle connection used last, or on a new one. Idle connections to another target process and
     * those idle for too long are closed on the way.
     */
    private void sendOnIdleOrNew(TargetExchange exchange, TargetRef target) {
        Duration limit = exchange.head().unrepeatable() ? MAX_IDLE_UNREPEATABLE : MAX_IDLE;
        while (!idle.isEmpty()) {
            TargetConnection pooled = idle.peekFirst();
            boolean usable = pooled.target().equals(target) && pooled.isUsable(limit);
            if (!usable && pooled.target().equals(target) && pooled.isUsable(MAX_IDLE)) {
                // The connection used last is too old for this unrepeatable call, and so are all others; repeatable
                // calls can still use them.
                break;
            }
            idle.removeFirst();
            if (usable) {
                pooled.start(exchange);
                return;
            }
            pooled.close();
        }
        sendOnNew(exchange, target);
    }

    private void sendOnNew(TargetExchange exchange, TargetRef target) {
        TargetConnection connection = new TargetConnection(target, this, dialect, clock);
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
                                .addLast(connection.decoder())
                                .addLast(new HttpRequestEncoder())
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

    /** Adds a connection to the idle ones; the one used last comes first. */
    void idle(TargetConnection connection) {
        idle.addFirst(connection);
    }

    /** Removes a closed connection from the idle ones. */
    void connectionClosed(TargetConnection connection) {
        idle.remove(connection);
    }

    /**
     * Passes on an anomaly. It is queued on the event loop, as the receiver may act on calls of the connection that is
     * still handling what it received.
     */
    void anomalySeen(TargetAnomalySeen seen) {
        loop.execute(() -> anomalies.accept(seen));
    }

    /** Closes the idle connections; those in use stay open until their calls end. */
    public void close() {
        loop.execute(() -> {
            idle.forEach(TargetConnection::close);
            idle.clear();
        });
    }
}
