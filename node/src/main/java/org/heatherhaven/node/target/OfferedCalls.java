package org.heatherhaven.node.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.Channel;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.peer.OfferedCall;
import org.heatherhaven.node.peer.PeerServerListener;
import org.heatherhaven.node.wire.OfferHead;

/** The calls that peers have offered and that have not ended; posts what peers send as events to the mailbox. */
public final class OfferedCalls implements PeerServerListener {

    private final Mailbox<Event> mailbox;
    private final Runnable onConnectionRejected;
    private final Map<OfferKey, OfferExchange> exchanges = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param mailbox receives the events
     * @param onConnectionRejected runs each time a connection of a peer is rejected
     */
    public OfferedCalls(Mailbox<Event> mailbox, Runnable onConnectionRejected) {
        this.mailbox = mailbox;
        this.onConnectionRejected = onConnectionRejected;
    }

    @Override
    public OfferedCall callOffered(OfferKey key, OfferHead head, Channel channel) {
        OfferExchange call = new OfferExchange(key, head, channel, mailbox, () -> exchanges.remove(key));
        exchanges.put(key, call);
        if (!mailbox.offer(new TrafficEvent.OfferArrived(key, head.call()))) {
            Refusal refusal = Refusal.notRun(Reason.NODE_OVERLOADED, "the target's node is overloaded");
            call.refuse(new Effect.RefuseOffer(
                    key, refusal, Signal.withoutOverload(head.call().retries())));
        }
        return call;
    }

    @Override
    public void connectionClosed(long link) {
        mailbox.put(new TrafficEvent.LinkClosed(link));
    }

    @Override
    public void messageReceived(PeerMessage message) {
        mailbox.put(new ControlEvent.PeerMessageReceived(message));
    }

    @Override
    public void connectionRejected() {
        onConnectionRejected.run();
    }

    /**
     * Sends a call to the target; does nothing if the call has ended.
     *
     * @param effect key of the offer, target and time limit
     * @param target the target's connections
     */
    public void run(Effect.RunOffer effect, TargetConnections target) {
        find(effect.key()).ifPresent(call -> call.run(effect, target));
    }

    /**
     * Refuses a call; does nothing if the call has ended.
     *
     * @param effect key of the offer, refusal and signal
     */
    public void refuse(Effect.RefuseOffer effect) {
        find(effect.key()).ifPresent(call -> call.refuse(effect));
    }

    /**
     * Ends the answer of a call; does nothing if the call has ended.
     *
     * @param effect key of the offer, whether the answer is complete, and signal
     */
    public void finish(Effect.FinishOffer effect) {
        find(effect.key()).ifPresent(call -> call.finish(effect.complete(), effect.signal()));
    }

    /**
     * Cancels a call at the target; does nothing if the call has ended.
     *
     * @param effect key of the offer
     */
    public void abort(Effect.AbortRun effect) {
        find(effect.key()).ifPresent(OfferExchange::abort);
    }

    /**
     * Returns whether there are calls of which the last frame is not sent to the peer.
     *
     * @return false if all offered calls have ended
     */
    public boolean hasOpenCalls() {
        return !exchanges.isEmpty();
    }

    private Optional<OfferExchange> find(OfferKey key) {
        return Optional.ofNullable(exchanges.get(key));
    }
}
