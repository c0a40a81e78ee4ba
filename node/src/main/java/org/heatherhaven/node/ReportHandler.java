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

/** Posts reports of the target as events, and completes each with its acknowledgement; thread-safe. */
final class ReportHandler {

    private final Mailbox<Event> mailbox;
    private final AtomicLong nextTicket = new AtomicLong(1);
    private final Map<Long, CompletableFuture<ReportVerdict>> pending = new ConcurrentHashMap<>();

    ReportHandler(Mailbox<Event> mailbox) {
        this.mailbox = mailbox;
    }

    /**
     * Posts a report.
     *
     * @param event creates the event for the ticket that identifies the report in its acknowledgement
     * @return completes with the verdict
     */
    CompletableFuture<ReportVerdict> submit(LongFunction<Event> event) {
        long ticket = nextTicket.getAndIncrement();
        CompletableFuture<ReportVerdict> verdict = new CompletableFuture<>();
        pending.put(ticket, verdict);
        mailbox.put(event.apply(ticket));
        return verdict;
    }

    /** Completes the report with the ticket of the acknowledgement; does nothing if none is pending. */
    void acknowledge(AcknowledgeTarget effect) {
        Optional.ofNullable(pending.remove(effect.ticket())).ifPresent(verdict -> verdict.complete(effect.verdict()));
    }
}
