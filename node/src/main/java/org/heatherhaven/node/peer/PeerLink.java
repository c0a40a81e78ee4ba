package org.heatherhaven.node.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection that this node opened to a peer. All fields belong to its event loop. */
final class PeerLink extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerLink.class);
    private static final Duration CONNECT_LIMIT = Duration.ofMillis(1_000);
    private static final int MAX_PENDING = 10_000;

    private final NodeId peer;
    private final PeerSettings settings;
    private final EventLoop loop;
    private final InstantSource clock;
    private final Runnable closed;
    private final Map<Long, AttemptListener> streams = new HashMap<>();
    private final Queue<Frame> pending = new ArrayDeque<>();
    private Channel channel;
    private boolean open;
    private boolean over;
    private long lastStream;

    /** Since when calls have waited without a word of the peer. */
    private Instant waitingSince = Instant.MIN;

    PeerLink(NodeId peer, PeerSettings settings, EventLoop loop, InstantSource clock, Runnable closed) {
        this.peer = peer;
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.closed = closed;
    }

    void connect(InetSocketAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_LIMIT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        PeerPipeline.build(
                                ch.pipeline(), settings, true, PeerLink.this, ctx -> loop.execute(() -> opened()));
                    }
                });
        bootstrap.connect(address).addListener(done -> {
            if (!done.isSuccess()) {
                LOGGER.debug("No connection to {}: {}", peer, done.cause().getMessage());
                shut();
            }
        });
    }

    void opened() {
        open = true;
        while (!pending.isEmpty()) {
            channel.write(pending.poll());
        }
        channel.flush();
    }

    void send(PeerMessage message) {
        EventLoops.run(loop, () -> write(Frame.of(FrameType.of(message), 0, message)));
    }

    /** Offers a call; its number is fixed on the event loop, so that numbers grow in the order of sending. */
    AttemptStream offer(OfferHead head, AttemptListener listener) {
        LinkStream stream = new LinkStream(this);
        EventLoops.run(loop, () -> {
            if (over || pending.size() >= MAX_PENDING) {
                listener.lost(Outcome.NOT_RUN);
                return;
            }
            lastStream++;
            stream.number(lastStream);
            if (streams.isEmpty()) {
                waitingSince = clock.instant();
            }
            streams.put(lastStream, listener);
            write(Frame.of(FrameType.OFFER, lastStream, head));
        });
        return stream;
    }

    EventLoop loop() {
        return loop;
    }

    /** Writes a frame, on the event loop. */
    void write(Frame frame) {
        if (over || (!open && pending.size() >= MAX_PENDING)) {
            frame.data().release();
        } else if (open) {
            channel.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else {
            pending.add(frame);
        }
    }

    /** Forgets a call, on the event loop. */
    void forget(long stream) {
        streams.remove(stream);
    }

    void close() {
        loop.execute(this::shut);
    }

    private void shut() {
        if (over) {
            return;
        }
        over = true;
        closed.run();
        pending.forEach(frame -> frame.data().release());
        pending.clear();
        // Before the handshake was done no offer left this node.
        Outcome outcome = open ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        List<AttemptListener> waiting = List.copyOf(streams.values());
        streams.clear();
        waiting.forEach(listener -> listener.lost(outcome));
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        waitingSince = clock.instant();
        AttemptListener listener = streams.get(frame.stream());
        if (listener == null) {
            frame.data().release();
            return;
        }
        switch (frame.type()) {
            case ANSWER -> listener.answered((AnswerHead) frame.payload());
            case CHUNK -> listener.chunk(frame.data());
            case CREDIT -> listener.credit((Integer) frame.payload());
            case END -> {
                streams.remove(frame.stream());
                listener.ended((AnswerEnd) frame.payload());
            }
            case REPLY -> {
                streams.remove(frame.stream());
                ReplyHead reply = (ReplyHead) frame.payload();
                listener.replied(reply.answer(), frame.data(), reply.signal());
            }
            case REFUSED -> {
                streams.remove(frame.stream());
                listener.refused((RefusedHead) frame.payload());
            }
            default -> ctx.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent idle) || streams.isEmpty()) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            closeIfSilent(ctx);
        } else if (idle.state() == IdleState.WRITER_IDLE && open) {
            ctx.writeAndFlush(Frame.withoutPayload(FrameType.KEEPALIVE, 0));
        }
    }

    /** A connection that nobody used for long is not silent before its first call has waited. */
    private void closeIfSilent(ChannelHandlerContext ctx) {
        if (streams.isEmpty()) {
            return;
        }
        Duration left = PeerPipeline.SILENCE_LIMIT.minus(Duration.between(waitingSince, clock.instant()));
        if (left.isNegative() || left.isZero()) {
            LOGGER.warn("Connection to {} is closed: {} calls wait, and nothing came", peer, streams.size());
            ctx.close();
            return;
        }
        loop.schedule(() -> closeIfSilent(ctx), left.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        shut();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.warn("Connection to {} failed: {}", peer, cause.toString());
        ctx.close();
    }

    /** A call offered over this connection. */
    private static final class LinkStream implements AttemptStream {

        private final PeerLink link;
        private long number;

        private LinkStream(PeerLink link) {
            this.link = link;
        }

        private void number(long assigned) {
            this.number = assigned;
        }

        @Override
        public void sendChunk(ByteBuf data) {
            EventLoops.run(link.loop, () -> writeIfOffered(Frame.chunk(number, data)));
        }

        @Override
        public void endBody() {
            EventLoops.run(link.loop, () -> writeIfOffered(Frame.withoutPayload(FrameType.BODY_END, number)));
        }

        @Override
        public void grant(int bytes) {
            EventLoops.run(link.loop, () -> writeIfOffered(Frame.of(FrameType.CREDIT, number, bytes)));
        }

        @Override
        public void cancel() {
            EventLoops.run(link.loop, () -> {
                writeIfOffered(Frame.withoutPayload(FrameType.CANCEL, number));
                link.forget(number);
            });
        }

        private void writeIfOffered(Frame frame) {
            if (number == 0 || !link.streams.containsKey(number)) {
                frame.data().release();
                return;
            }
            link.write(frame);
        }
    }
}
