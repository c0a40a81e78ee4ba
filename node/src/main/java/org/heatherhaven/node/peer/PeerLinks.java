package org.heatherhaven.node.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.node.wire.OfferHead;

/**
 * The connections that this node opens to peers, at most one per peer.
 *
 * <p>A connection is opened when something is first sent to the peer.
 */
public final class PeerLinks {

    /** Time after the failure of a connection during which no new one to the same peer is opened. */
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

    private final PeerSettings settings;
    private final EventLoopGroup group;
    private final InstantSource clock;
    private final Map<NodeId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<NodeId, Instant> lastFailures = new ConcurrentHashMap<>();

    /**
     * Creates an empty set of connections.
     *
     * @param settings settings of the connections
     * @param group event loops of the connections
     * @param clock source of the current time
     */
    public PeerLinks(PeerSettings settings, EventLoopGroup group, InstantSource clock) {
        this.settings = settings;
        this.group = group;
        this.clock = clock;
    }

    /**
     * Sends a control message without a guarantee of delivery; drops it shortly after a failure of the connection.
     *
     * @param to the peer
     * @param message the message
     */
    public void send(NodeId to, PeerMessage message) {
        if (to.namesAddress() && !inReconnectDelay(to)) {
            link(to).send(message);
        }
    }

    /**
     * Offers a call to a peer; shortly after a failure of the connection, or if the peer's address can't be connected to,
     * the call is lost at once.
     *
     * @param to the peer
     * @param head head of the call
     * @param listener receives the progress of the call
     * @return stream that sends the further frames of the call
     */
    public AttemptStream offer(NodeId to, OfferHead head, AttemptListener listener) {
        if (!to.namesAddress() || inReconnectDelay(to)) {
            listener.attemptLost(Outcome.NOT_RUN);
            return new DiscardingStream();
        }
        return link(to).offer(head, listener);
    }

    /** Returns whether the last failure is too recent to connect again, which limits the cost of an unreachable peer. */
    private boolean inReconnectDelay(NodeId to) {
        Instant failedAt = lastFailures.get(to);
        if (failedAt == null) {
            return false;
        }
        if (Duration.between(failedAt, clock.instant()).compareTo(RECONNECT_DELAY) < 0) {
            return true;
        }
        lastFailures.remove(to);
        return false;
    }

    private PeerLink link(NodeId to) {
        return links.computeIfAbsent(to, this::connect);
    }

    private PeerLink connect(NodeId to) {
        int colon = to.value().lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                to.value().substring(0, colon), Integer.parseInt(to.value().substring(colon + 1)));
        PeerLink link = new PeerLink(to, settings, group.next(), clock, () -> linkTerminated(to));
        // Connecting on the event loop: an immediate failure would otherwise remove the link before it is in the map.
        link.loop().execute(() -> link.connect(address));
        return link;
    }

    private void linkTerminated(NodeId to) {
        links.remove(to);
        lastFailures.put(to, clock.instant());
    }

    /**
     * Returns the number of connections, including those that are being opened.
     *
     * @return number of connections
     */
    public int size() {
        return links.size();
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(PeerLink::close);
    }

    /** Discards the frames of a call that was lost before it was offered. */
    private static final class DiscardingStream implements AttemptStream {

        @Override
        public void sendChunk(ByteBuf data) {
            data.release();
        }

        @Override
        public void endBody() {
            // The call was not offered.
        }

        @Override
        public void grantCredit(int bytes) {
            // The call was not offered.
        }

        @Override
        public void withdraw() {
            // The call was not offered.
        }

        @Override
        public void cancel() {
            // The call was not offered.
        }
    }
}
