package org.heatherhaven.node.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.BadFrameException;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that this node opens to a peer to send control messages and to offer calls.
 *
 * <p>Frames written before the handshake is complete are queued. All fields are confined to the event loop of the
 * connection.
 */
final class PeerLink extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerLink.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Limit of frames queued until the handshake is complete; further control messages are dropped, further calls fail.
     * Frames of a call that was offered are queued beyond it, as a body with a gap must not be sent.
     */
    private static final int MAX_UNSENT_FRAMES = 10_000;

    private final NodeId peer;
    private final PeerSettings settings;
    private final EventLoop loop;
    private final InstantSource clock;
    private final Runnable onTerminated;
    private final Map<Long, AttemptListener> listeners = new HashMap<>();
    private final Queue<Frame> unsentFrames = new ArrayDeque<>();
    private Channel channel;
    private boolean authenticated;
    private boolean terminated;
    private long lastStream;

    /** Time of the last frame received, or of the first open call if that is later; meaningful with open calls only. */
    private Instant silentSince = Instant.MIN;

    PeerLink(NodeId peer, PeerSettings settings, EventLoop loop, InstantSource clock, Runnable onTerminated) {
        this.peer = peer;
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.onTerminated = onTerminated;
    }

    /** Connects and starts the handshake; a failure ends the link. */
    void connect(InetSocketAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        PeerPipeline.build(
                                ch.pipeline(),
                                settings,
                                true,
                                PeerLink.this,
                                ctx -> loop.execute(() -> handshakeCompleted()));
                    }
                });
        bootstrap.connect(address).addListener(done -> {
            if (!done.isSuccess()) {
                LOGGER.debug("Can't connect to {}: {}", peer, done.cause().getMessage());
                terminate();
            }
        });
    }

    /** Writes the queued frames once the peer is authenticated, on the event loop. */
    void handshakeCompleted() {
        authenticated = true;
        while (!unsentFrames.isEmpty()) {
            Frame frame = unsentFrames.poll();
            channel.write(frame).addListener(done -> written(frame, done));
        }
        channel.flush();
    }

    /** Sends a control message, from any thread. */
    void send(PeerMessage message) {
        EventLoops.run(loop, () -> write(Frame.of(FrameType.of(message), 0, message)));
    }

    /**
     * Offers a call, from any thread. Its number is assigned on the event loop, so that numbers increase in the order of
     * sending, which the peer requires.
     */
    AttemptStream offer(OfferHead head, AttemptListener listener) {
        LinkStream stream = new LinkStream(this);
        EventLoops.run(loop, () -> {
            if (terminated || unsentFrames.size() >= MAX_UNSENT_FRAMES) {
                listener.attemptLost(Outcome.NOT_RUN);
                return;
            }
            lastStream++;
            stream.number(lastStream);
            if (listeners.isEmpty()) {
                silentSince = clock.instant();
            }
            listeners.put(lastStream, listener);
            write(Frame.of(FrameType.OFFER, lastStream, head));
        });
        return stream;
    }

    EventLoop loop() {
        return loop;
    }

    /** Writes a frame, queues it before the handshake is complete, or drops it. Called on the event loop. */
    void write(Frame frame) {
        if (terminated) {
            frame.data().release();
        } else if (authenticated) {
            channel.writeAndFlush(frame).addListener(done -> written(frame, done));
        } else if (!frame.type().isControl() || unsentFrames.size() < MAX_UNSENT_FRAMES) {
            unsentFrames.add(frame);
        }
    }

    /**
     * Handles the end of a write. If the frame could not be encoded, nothing of it was sent and only its call or message
     * is lost; any other failure ends the connection.
     */
    private void written(Frame frame, Future<?> done) {
        if (done.isSuccess()) {
            return;
        }
        if (!(done.cause() instanceof EncoderException)) {
            channel.close();
            return;
        }
        LOGGER.warn(
                "A frame of type {} of call {} to {} is dropped: {}",
                frame.type(),
                frame.stream(),
                peer,
                done.cause().getMessage());
        Outcome outcome = frame.type() == FrameType.OFFER ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        Optional.ofNullable(listeners.remove(frame.stream())).ifPresent(listener -> listener.attemptLost(outcome));
    }

    /** Ignores all further frames of a call. Called on the event loop. */
    void removeListener(long stream) {
        listeners.remove(stream);
    }

    /** Closes the connection, from any thread. */
    void close() {
        loop.execute(this::terminate);
    }

    /** Ends the link once: drops queued frames and reports all open calls as lost. */
    private void terminate() {
        if (terminated) {
            return;
        }
        terminated = true;
        onTerminated.run();
        unsentFrames.forEach(frame -> frame.data().release());
        unsentFrames.clear();
        // No offer is sent before the handshake is complete.
        Outcome outcome = authenticated ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        List<AttemptListener> open = List.copyOf(listeners.values());
        listeners.clear();
        open.forEach(listener -> listener.attemptLost(outcome));
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
        silentSince = clock.instant();
        AttemptListener listener = listeners.get(frame.stream());
        if (listener == null) {
            frame.data().release();
            return;
        }
        switch (frame.type()) {
            case ANSWER -> listener.headReceived((AnswerHead) frame.payload());
            case CHUNK -> listener.chunkReceived(frame.data());
            case CREDIT -> listener.creditReceived((Integer) frame.payload());
            case END -> {
                listeners.remove(frame.stream());
                listener.answerEnded((AnswerEnd) frame.payload());
            }
            case REPLY -> {
                listeners.remove(frame.stream());
                ReplyHead reply = (ReplyHead) frame.payload();
                listener.answerReceived(reply.answer(), frame.data(), reply.signal());
            }
            case REFUSED -> {
                listeners.remove(frame.stream());
                listener.refused((RefusedHead) frame.payload());
            }
            default -> {
                frame.data().release();
                loseCall(frame.stream());
            }
        }
    }

    /** Ends a call of which a frame is invalid, and cancels it at the peer; the other calls of the connection go on. */
    private void loseCall(long stream) {
        AttemptListener listener = listeners.remove(stream);
        if (listener != null) {
            write(Frame.withoutPayload(FrameType.CANCEL, stream));
            listener.attemptLost(Outcome.UNKNOWN);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent idle) || listeners.isEmpty()) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            closeIfSilent(ctx);
        } else if (idle.state() == IdleState.WRITER_IDLE && authenticated) {
            ctx.writeAndFlush(Frame.withoutPayload(FrameType.KEEPALIVE, 0));
        }
    }

    /**
     * Closes the connection if a call has been open for the whole timeout and no frame arrived since; otherwise checks
     * again when that time is up. The idle handler also reports the time before the first call of a connection that was
     * unused for long, which must not count.
     */
    private void closeIfSilent(ChannelHandlerContext ctx) {
        if (listeners.isEmpty()) {
            return;
        }
        Duration left = PeerPipeline.SILENCE_TIMEOUT.minus(Duration.between(silentSince, clock.instant()));
        if (left.isNegative() || left.isZero()) {
            LOGGER.warn(
                    "Connection to {} is closed: no frame was received within the timeout, {} calls are open",
                    peer,
                    listeners.size());
            ctx.close();
            return;
        }
        loop.schedule(() -> closeIfSilent(ctx), left.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        terminate();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (authenticated && cause.getCause() instanceof BadFrameException bad) {
            LOGGER.warn(
                    "A frame of type {} of call {} from {} can't be decoded and is dropped: {}",
                    bad.typeName(),
                    bad.stream(),
                    peer,
                    bad.getMessage());
            loseCall(bad.stream());
            return;
        }
        LOGGER.warn("Connection to {} failed: {}", peer, cause.toString());
        ctx.close();
    }

    /** Sends the frames of one call over the connection. */
    private static final class LinkStream implements AttemptStream {

        private final PeerLink link;

        /** Number of the call on the connection, 0 until it was offered. */
        private long number;

        private LinkStream(PeerLink link) {
            this.link = link;
        }

        private void number(long stream) {
            this.number = stream;
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
        public void grantCredit(int bytes) {
            EventLoops.run(link.loop, () -> writeIfOffered(Frame.of(FrameType.CREDIT, number, bytes)));
        }

        @Override
        public void withdraw() {
            EventLoops.run(link.loop, () -> writeIfOffered(Frame.withoutPayload(FrameType.CANCEL, number)));
        }

        @Override
        public void cancel() {
            EventLoops.run(link.loop, () -> {
                writeIfOffered(Frame.withoutPayload(FrameType.CANCEL, number));
                link.removeListener(number);
            });
        }

        /** Writes a frame of the call, or drops it if the call was not offered or has ended. */
        private void writeIfOffered(Frame frame) {
            if (number == 0 || !link.listeners.containsKey(number)) {
                frame.data().release();
                return;
            }
            link.write(frame);
        }
    }
}
