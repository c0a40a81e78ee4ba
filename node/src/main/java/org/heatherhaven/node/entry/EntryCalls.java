package org.heatherhaven.node.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.peer.PeerLinks;

/** All calls that entered at this node and are not over. */
public final class EntryCalls {

    private final Mailbox<Event> mailbox;
    private final PeerLinks peers;
    private final CallDialect dialect;
    private final Consumer<Reason> refusalCounter;
    private final Map<Long, EntryExchange> exchanges = new ConcurrentHashMap<>();
    private final AtomicLong callNumbers = new AtomicLong(1);
    private volatile boolean closingAfterAnswers;

    /**
     * Creates the set, empty.
     *
     * @param mailbox takes the events
     * @param peers connections to other nodes
     * @param dialect how callers are spoken to
     * @param refusals counts refusals that the reducer never sees
     */
    public EntryCalls(Mailbox<Event> mailbox, PeerLinks peers, CallDialect dialect, Consumer<Reason> refusals) {
        this.mailbox = mailbox;
        this.refusalCounter = refusals;
        this.peers = peers;
        this.dialect = dialect;
    }

    long nextCallNumber() {
        return callNumbers.getAndIncrement();
    }

    /** Enters a call; false if the control thread is overloaded. */
    boolean register(EntryExchange exchange, EntryPoint door, CallRequest request) {
        exchanges.put(exchange.number(), exchange);
        if (mailbox.offer(new TrafficEvent.CallArrived(exchange.number(), door, request))) {
            return true;
        }
        exchanges.remove(exchange.number());
        return false;
    }

    void deregister(long call) {
        exchanges.remove(call);
    }

    void post(Event event) {
        mailbox.put(event);
    }

    void countRefusal(Reason reason) {
        refusalCounter.accept(reason);
    }

    PeerLinks peers() {
        return peers;
    }

    CallDialect dialect() {
        return dialect;
    }

    /** Asks callers to open new connections elsewhere: every answer from now on closes its own. */
    public void closeConnectionsAfterAnswers() {
        closingAfterAnswers = true;
    }

    boolean closesConnectionsAfterAnswers() {
        return closingAfterAnswers;
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
        return Optional.ofNullable(exchanges.get(call));
    }
}
