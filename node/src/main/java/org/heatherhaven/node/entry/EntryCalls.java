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

/** The calls that entered at this node and have not ended. */
public final class EntryCalls {

    private final Mailbox<Event> mailbox;
    private final PeerLinks peers;
    private final CallDialect dialect;
    private final Consumer<Reason> refusalCounter;
    private final Map<Long, EntryExchange> exchanges = new ConcurrentHashMap<>();
    private final AtomicLong callNumbers = new AtomicLong(1);
    private volatile boolean closingAfterAnswers;

    /**
     * Creates an empty set.
     *
     * @param mailbox receives the events of the calls
     * @param peers connections to other nodes
     * @param dialect conventions of HTTP headers and statuses towards callers
     * @param refusalCounter counts refusals that are decided outside the reducer
     */
    public EntryCalls(Mailbox<Event> mailbox, PeerLinks peers, CallDialect dialect, Consumer<Reason> refusalCounter) {
        this.mailbox = mailbox;
        this.refusalCounter = refusalCounter;
        this.peers = peers;
        this.dialect = dialect;
    }

    /** Returns a call number that this process has not used before. */
    long nextCallNumber() {
        return callNumbers.getAndIncrement();
    }

    /** Adds a call and posts its arrival; returns false, without adding it, if the mailbox is full. */
    boolean register(EntryExchange exchange, EntryPoint entryPoint, CallRequest request) {
        exchanges.put(exchange.number(), exchange);
        if (mailbox.offer(new TrafficEvent.CallArrived(exchange.number(), entryPoint, request))) {
            return true;
        }
        exchanges.remove(exchange.number());
        return false;
    }

    /** Removes a call that has ended. */
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

    /** Makes each later answer close its connection, so that callers reconnect to other nodes. */
    public void closeConnectionsAfterAnswers() {
        closingAfterAnswers = true;
    }

    boolean closesConnectionsAfterAnswers() {
        return closingAfterAnswers;
    }

    /**
     * Answers a caller with a refusal; does nothing if the call has ended.
     *
     * @param effect number of the call and refusal
     */
    public void refuse(Effect.RefuseCall effect) {
        find(effect.call()).ifPresent(exchange -> exchange.refuse(effect));
    }

    /**
     * Sends an attempt of a call to the node beside a target; does nothing if the call has ended.
     *
     * @param effect number of the call, attempt, and node to send it to
     */
    public void forward(Effect.ForwardCall effect) {
        find(effect.call()).ifPresent(exchange -> exchange.forward(effect));
    }

    /**
     * Cancels an attempt; does nothing if the call has ended.
     *
     * @param effect numbers of the call and of the attempt
     */
    public void cancel(Effect.CancelAttempt effect) {
        find(effect.call()).ifPresent(exchange -> exchange.cancel(effect));
    }

    /**
     * Withdraws an attempt, whose end is still reported; does nothing if the call has ended.
     *
     * @param effect numbers of the call and of the attempt
     */
    public void withdraw(Effect.WithdrawAttempt effect) {
        find(effect.call()).ifPresent(exchange -> exchange.withdraw(effect));
    }

    private Optional<EntryExchange> find(long call) {
        return Optional.ofNullable(exchanges.get(call));
    }
}
