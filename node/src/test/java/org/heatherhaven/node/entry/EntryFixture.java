package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.heatherhaven.core.effect.Effect.ForwardCall;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.peer.PeerLinks;
import org.heatherhaven.node.peer.PeerSettings;
import org.heatherhaven.node.wire.FleetSecrets;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameCodec;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.Handshake;
import org.heatherhaven.node.wire.Hello;
import org.heatherhaven.node.wire.OfferHead;

/**
 * The entry side of a node on loopback: a listener for callers, a peer that answers each offer by a script, and the test
 * in the place of the reducer.
 */
final class EntryFixture implements AutoCloseable {

    /** A node at whose address nothing listens. */
    static final NodeId UNREACHABLE = new NodeId("127.0.0.1:1");

    static final int MAX_HEADER_BYTES = 4096;
    static final int MAX_BODY_BYTES = 10_000;

    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int NONCE_BYTES = 16;
    private static final FleetSecrets SECRETS = new FleetSecrets(List.of("secret"));

    private final NioEventLoopGroup callerGroup = new NioEventLoopGroup(1);
    private final NioEventLoopGroup linkGroup = new NioEventLoopGroup(1);
    private final List<FrameType> received = new CopyOnWriteArrayList<>();
    private final ChannelGroup links = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Semaphore offers = new Semaphore(0);
    private final Map<Long, Integer> bodyBytes = new ConcurrentHashMap<>();
    private final Semaphore bodyEnds = new Semaphore(0);
    private final Mailbox<Event> mailbox;
    private final EntryCalls calls;
    private final Channel callerListener;
    private final Channel peerListener;

    /**
     * Starts the listeners.
     *
     * @param mailboxCapacity capacity of the mailbox in which the test finds the events of the calls
     * @param script gives the frames that the peer sends in reply to an offer, by the stream and the head of the offer
     */
    EntryFixture(int mailboxCapacity, BiFunction<Long, OfferHead, List<Frame>> script) {
        mailbox = new Mailbox<>(mailboxCapacity);
        PeerSettings settings = new PeerSettings(
                new Owner(new NodeId("entry"), 1), SECRETS, MAX_FRAME_BYTES, Optional.empty(), Optional.empty());
        // The clock stands still, so that the delay after a failed connection never ends.
        PeerLinks peerLinks = new PeerLinks(settings, linkGroup, () -> Instant.EPOCH);
        calls = new EntryCalls(mailbox, peerLinks, new IdentifyingDialect(), reason -> {});
        EntrySettings entry = new EntrySettings(MAX_HEADER_BYTES, MAX_BODY_BYTES, 10);
        callerListener = listen(
                callerGroup,
                channel -> channel.pipeline()
                        .addLast(new HttpServerCodec(MAX_HEADER_BYTES, MAX_HEADER_BYTES, MAX_HEADER_BYTES))
                        .addLast(new CallerConnection(EntryPoint.CALLER, entry, calls)));
        peerListener = listen(
                linkGroup,
                channel -> channel.pipeline()
                        .addLast(new FrameCodec(MAX_FRAME_BYTES))
                        .addLast(new Handshake(false, new Hello("peer", 1, new byte[NONCE_BYTES]), SECRETS, ctx -> {}))
                        .addLast(new Peer(script)));
    }

    private static Channel listen(NioEventLoopGroup group, Consumer<Channel> initializer) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    EntryCalls calls() {
        return calls;
    }

    Mailbox<Event> mailbox() {
        return mailbox;
    }

    /** Returns the types of the frames that the peer has received, in their order. */
    List<FrameType> received() {
        return received;
    }

    /** Waits until the peer has received this many offers. */
    void awaitOffers(int count) {
        offers.acquireUninterruptibly(count);
    }

    /** Closes the connections between the node and the peer. */
    void closeLinks() {
        links.close().syncUninterruptibly();
    }

    /** Sends a frame from the peer to the node. */
    void reply(Frame frame) {
        links.writeAndFlush(frame).syncUninterruptibly();
    }

    /** Waits until the peer has received a frame of the type. */
    void awaitFrame(FrameType type) {
        while (!received.contains(type)) {
            Thread.onSpinWait();
        }
    }

    NodeId peer() {
        return new NodeId("127.0.0.1:" + ((InetSocketAddress) peerListener.localAddress()).getPort());
    }

    /** Waits for the next event of the calls. */
    Event next() {
        Optional<Event> event = mailbox.poll();
        while (event.isEmpty()) {
            event = mailbox.poll(Duration.ofSeconds(1));
        }
        return event.get();
    }

    /** Waits until the event loop of the callers' connections has run everything that was queued there. */
    void settle() {
        callerGroup.submit(() -> {}).syncUninterruptibly();
    }

    /** Creates a caller's connection whose requests the test passes in as HTTP objects. */
    EmbeddedChannel embeddedCaller(long maxBodyBytes) {
        EntrySettings entry = new EntrySettings(MAX_HEADER_BYTES, maxBodyBytes, 10);
        return new EmbeddedChannel(new CallerConnection(EntryPoint.CALLER, entry, calls));
    }

    /** Waits for the end of a request's body, and returns the number of body bytes that the peer received on a stream. */
    int awaitBody(long stream) {
        bodyEnds.acquireUninterruptibly();
        return bodyBytes.getOrDefault(stream, 0);
    }

    /** Opens a caller's connection and sends bytes on it. */
    Socket send(String bytes) throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), ((InetSocketAddress) callerListener.localAddress()).getPort());
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Returns everything that a caller receives until its connection is closed. */
    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Returns the effect that sends an attempt of a call. */
    static ForwardCall forward(long call, int attempt, NodeId to, String requestId) {
        CallHead head = new CallHead(
                requestId,
                requestId,
                "",
                "GET",
                "/x",
                List.of(),
                "",
                "s",
                "r",
                "",
                Importance.HIGH,
                Importance.HIGH,
                0,
                1_000,
                200,
                0,
                false,
                AttemptKind.FIRST,
                1);
        return new ForwardCall(call, attempt, to, head);
    }

    @Override
    public void close() {
        callerListener.close();
        peerListener.close();
        callerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        linkGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The peer's side of a connection between nodes. */
    private final class Peer extends SimpleChannelInboundHandler<Frame> {

        private final BiFunction<Long, OfferHead, List<Frame>> script;

        private Peer(BiFunction<Long, OfferHead, List<Frame>> script) {
            this.script = script;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            links.add(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
            received.add(frame.type());
            bodyBytes.merge(frame.stream(), frame.data().readableBytes(), Integer::sum);
            frame.data().release();
            if (frame.type() == FrameType.BODY_END) {
                bodyEnds.release();
            }
            if (frame.type() == FrameType.OFFER) {
                script.apply(frame.stream(), (OfferHead) frame.payload()).forEach(ctx::write);
                ctx.flush();
                offers.release();
            }
        }
    }
}
