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

/** The connections that this node opens to peers, one a peer. */
public final class PeerLinks {

    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

    private final PeerSettings settings;
    private final EventLoopGroup group;
    private final InstantSource clock;
    private final Map<NodeId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<NodeId, Instant> lastFailures = new ConcurrentHashMap<>();

    /**
     * Creates the set of connections, empty.
     *
     * @param settings what connections need
     * @param group threads of the connections
     * @param clock source of time
     */
    public PeerLinks(PeerSettings settings, EventLoopGroup group, InstantSource clock) {
        this.settings = settings;
        this.group = group;
        this.clock = clock;
    }

    /**
     * Sends a control message; it may get lost.
     *
     * @param to the peer
     * @param message the message
     */
    public void send(NodeId to, PeerMessage message) {
        if (!inReconnectDelay(to)) {
            link(to).send(message);
        }
    }

    /**
     * Offers a call to a peer.
     *
     * @param to the peer
     * @param head the call
     * @param listener hears how it goes
     * @return the sending side of the call
     */
    public AttemptStream offer(NodeId to, OfferHead head, AttemptListener listener) {
        if (inReconnectDelay(to)) {
            listener.attemptLost(Outcome.NOT_RUN);
            return new DiscardingStream();
        }
        return link(to).offer(head, listener);
    }

    /** Soon after a failure there is no new try, so that a dead peer costs little. */
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
        // Connecting on the loop keeps a failure at once from reaching the map before the link is in it.
        link.loop().execute(() -> link.connect(address));
        return link;
    }

    private void linkTerminated(NodeId to) {
        links.remove(to);
        lastFailures.put(to, clock.instant());
    }

    /**
     * Number of open connections.
     *
     * @return connections
     */
    public int size() {
        return links.size();
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(PeerLink::close);
    }

    /** A call that was lost before it was offered. */
    private static final class DiscardingStream implements AttemptStream {

        @Override
        public void sendChunk(ByteBuf data) {
            data.release();
        }

        @Override
        public void endBody() {
            // Nothing was offered.
        }

        @Override
        public void grantCredit(int bytes) {
            // Nothing was offered.
        }

        @Override
        public void cancel() {
            // Nothing was offered.
        }
    }
}
