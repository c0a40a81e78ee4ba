package org.heatherhaven.node.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;
import org.apache.commons.codec.digest.DigestUtils;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.Door;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.http.EndToEnd;
import org.heatherhaven.node.peer.PeerLinks;
import org.heatherhaven.node.target.TargetClient;

/** All calls that entered at this node and are not over. */
public final class EntryCalls {

    private static final String BEARER = "Bearer ";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final Mailbox<Event> mailbox;
    private final PeerLinks peers;
    private final Consumer<Reason> refusals;
    private final Map<Long, EntryExchange> calls = new ConcurrentHashMap<>();
    private final AtomicLong nextCall = new AtomicLong(1);

    /**
     * Creates the set, empty.
     *
     * @param mailbox takes the events
     * @param peers connections to other nodes
     * @param refusals counts refusals that the reducer never sees
     */
    public EntryCalls(Mailbox<Event> mailbox, PeerLinks peers, Consumer<Reason> refusals) {
        this.mailbox = mailbox;
        this.refusals = refusals;
        this.peers = peers;
    }

    long nextNumber() {
        return nextCall.getAndIncrement();
    }

    /** Enters a call; false if the control thread is overloaded. */
    boolean enter(EntryExchange exchange, Door door, CallRequest request) {
        calls.put(exchange.number(), exchange);
        if (mailbox.offer(new TrafficEvent.CallArrived(exchange.number(), door, request))) {
            return true;
        }
        calls.remove(exchange.number());
        return false;
    }

    void leave(long call) {
        calls.remove(call);
    }

    void post(Event event) {
        mailbox.put(event);
    }

    void countRefusal(Reason reason) {
        refusals.accept(reason);
    }

    PeerLinks peers() {
        return peers;
    }

    static CallRequest request(Door door, String method, String uri, HttpHeaders headers) {
        return new CallRequest(
                method,
                uri,
                EndToEnd.headers(headers),
                Optional.ofNullable(headers.get("Authorization"))
                        .filter(value -> value.startsWith(BEARER))
                        .map(value -> DigestUtils.sha256Hex(
                                value.substring(BEARER.length()).trim())),
                Optional.ofNullable(headers.get(TargetClient.CONTEXT_HEADER)).filter(id -> door == Door.TARGET),
                Optional.ofNullable(headers.get(TargetClient.TIMEOUT_HEADER)).map(EntryCalls::timeout),
                Optional.ofNullable(headers.get(IDEMPOTENCY_KEY)));
    }

    /** Reads a timeout; throws NumberFormatException if it is not a positive number of milliseconds. */
    private static Duration timeout(String value) {
        long millis = Long.parseLong(value.trim());
        if (millis <= 0) {
            throw new NumberFormatException("timeout " + millis);
        }
        return Duration.ofMillis(millis);
    }

    /**
     * Answers a caller with a refusal.
     *
     * @param effect which call, and why
     */
    public void refuse(Effect.RefuseCall effect) {
        find(effect.call()).ifPresent(exchange -> exchange.refuse(effect));
    }

    /**
     * Sends a call to a target's node.
     *
     * @param effect which call, and where to
     */
    public void forward(Effect.ForwardCall effect) {
        find(effect.call()).ifPresent(exchange -> exchange.forward(effect));
    }

    /**
     * Cancels an attempt.
     *
     * @param effect which attempt
     */
    public void cancel(Effect.CancelAttempt effect) {
        find(effect.call()).ifPresent(exchange -> exchange.cancel(effect));
    }

    private Optional<EntryExchange> find(long call) {
        return Optional.ofNullable(calls.get(call));
    }
}
