package org.heatherhaven.node;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import org.heatherhaven.core.effect.Effect.AcknowledgeTarget;
import org.heatherhaven.core.effect.Effect.ReportVerdict;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.node.control.Mailbox;

/** Brings the acknowledgement of a target's report back to whoever delivered it. */
final class ReportHandler {

    private final Mailbox<Event> mailbox;
    private final AtomicLong nextTicket = new AtomicLong(1);
    private final Map<Long, CompletableFuture<ReportVerdict>> pending = new ConcurrentHashMap<>();

    ReportHandler(Mailbox<Event> mailbox) {
        this.mailbox = mailbox;
    }

    CompletableFuture<ReportVerdict> submit(LongFunction<Event> event) {
        long ticket = nextTicket.getAndIncrement();
        CompletableFuture<ReportVerdict> answer = new CompletableFuture<>();
        pending.put(ticket, answer);
        mailbox.put(event.apply(ticket));
        return answer;
    }

    void acknowledge(AcknowledgeTarget effect) {
        Optional.ofNullable(pending.remove(effect.ticket())).ifPresent(answer -> answer.complete(effect.verdict()));
    }
}
