package org.heatherhaven.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.model.NodeId;

/**
 * A node of a {@link SmallFleet}: its reducer state, its clock, and the connections and offers that a real process
 * keeps outside the reducer.
 */
public final class TestNode {

    final NodeId id;
    final double clockRate;
    final Instant startedAt;
    final Queue<Event> inbox = new ArrayDeque<>();
    final Map<NodeId, Long> links = new HashMap<>();
    final Map<OfferKey, Attempt> offers = new HashMap<>();
    NodeState state;
    Instant pausedUntil = Instant.MIN;
    Instant isolatedUntil = Instant.MIN;
    Instant controlMessagesLostUntil = Instant.MIN;
    boolean alive = true;
    boolean left;
    long nextLink = 1;
    long nextStream = 1;
    long nextCall = 1;

    record Attempt(TestNode entry, long call, int attempt) {}

    TestNode(NodeId id, NodeState state, Instant startedAt, double clockRate) {
        this.id = id;
        this.state = state;
        this.startedAt = startedAt;
        this.clockRate = clockRate;
    }

    public NodeId id() {
        return id;
    }

    public NodeState state() {
        return state;
    }

    public boolean alive() {
        return alive;
    }

    /** Returns the time that this node's clock shows at a true time. */
    Instant clock(Instant trueTime) {
        Duration elapsed = Duration.between(startedAt, trueTime);
        return startedAt.plusNanos((long) (elapsed.toNanos() * clockRate));
    }

    public Instant clockAt(Instant trueTime) {
        return clock(trueTime);
    }

    boolean isolated(Instant trueTime) {
        return trueTime.isBefore(isolatedUntil);
    }

    boolean paused(Instant trueTime) {
        return trueTime.isBefore(pausedUntil);
    }
}
