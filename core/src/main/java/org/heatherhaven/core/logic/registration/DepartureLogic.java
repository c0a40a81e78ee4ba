package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Effect.ReportVerdict;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.TargetReport;
import org.pcollections.TreePVector;

/**
 * Stores that a target leaves on the platform, and reads at the start what an earlier process of this node stored.
 *
 * <p>An acknowledged departure binds whatever happens to the node's process, so it is acknowledged only once it is
 * stored. Until the stored departure is known, reports put no target in service.
 */
public final class DepartureLogic {

    /** Time between two attempts to read or store a departure. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private DepartureLogic() {}

    /**
     * Reads or stores the departure if that is due. Goes on without the stored departure once a report from before the
     * start of this process can't arrive any more, as the platform may be unavailable for long.
     *
     * @param state the current state
     * @param self this node
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static RegistrationState tick(RegistrationState state, NodeId self, Instant now, Outbox out) {
        DepartureStorage storage = state.storage();
        if (!storage.earlierKnown() && now.isAfter(storage.earlierMattersUntil())) {
            storage = storage.withEarlierKnown();
        }
        if (now.isBefore(storage.nextCallAt()) || storage.earlierKnown() && storage.stored()) {
            return state.withStorage(storage);
        }
        if (!storage.earlierKnown()) {
            out.add(new Effect.ReadDeparture(self));
        }
        if (!storage.stored()) {
            out.add(new Effect.StoreDeparture(self, state.departure().orElseThrow()));
        }
        return state.withStorage(storage.withNextCallAt(now.plus(RETRY_DELAY)));
    }

    /**
     * Returns whether a report has to wait until the stored departure is known.
     *
     * @param state the current state
     * @param report the report
     * @return true if it has to wait
     */
    public static boolean mustWait(RegistrationState state, TargetReport report) {
        return !state.storage().earlierKnown() && !report.leaving();
    }

    /**
     * Keeps the latest of the reports that have to wait.
     *
     * @param state the current state
     * @param report the report
     * @return the new state
     */
    public static RegistrationState hold(RegistrationState state, TargetReport report) {
        boolean outdated = state.storage()
                .heldReport()
                .filter(held -> held.startedMillis() > report.startedMillis()
                        || held.startedMillis() == report.startedMillis() && held.sequence() >= report.sequence())
                .isPresent();
        return outdated ? state : state.withStorage(state.storage().withHeldReport(report));
    }

    /**
     * Applies the departure that an earlier process of this node stored, unless this process has received one itself.
     *
     * @param state the current state
     * @param earlier the stored departure
     * @return the new state, without a held report; the caller handles that as if it had just been received
     */
    public static RegistrationState handleRead(RegistrationState state, Optional<Departure> earlier) {
        if (state.storage().earlierKnown()) {
            return state;
        }
        RegistrationState next = state.withStorage(state.storage().withEarlierKnown());
        return state.departure().isPresent() || earlier.isEmpty() ? next : next.withDeparture(earlier.get());
    }

    /**
     * Acknowledges a report that the target leaves: at once if its departure is stored, otherwise once it is.
     *
     * @param before the state before the report
     * @param state the state after the report
     * @param self this node
     * @param ticket number under which the report is acknowledged
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static RegistrationState acknowledge(
            RegistrationState before, RegistrationState state, NodeId self, long ticket, Instant now, Outbox out) {
        boolean newDeparture = !before.departure().equals(state.departure());
        if (!newDeparture && state.storage().stored()) {
            out.add(new Effect.AcknowledgeTarget(
                    ticket, before.equals(state) ? ReportVerdict.OUTDATED : ReportVerdict.ACCEPTED));
            return state;
        }
        DepartureStorage storage = state.storage();
        DepartureStorage waiting = storage.withStored(false)
                .withWaitingTickets(storage.waitingTickets().plus(ticket));
        if (!newDeparture) {
            return state.withStorage(waiting);
        }
        out.add(new Effect.StoreDeparture(self, state.departure().orElseThrow()));
        return state.withStorage(waiting.withNextCallAt(now.plus(RETRY_DELAY)));
    }

    /**
     * Acknowledges the reports of a departure that is now stored.
     *
     * @param state the current state
     * @param departure the stored departure
     * @param out receives the effects
     * @return the new state, the same one if the target has reported another departure since
     */
    public static RegistrationState handleStored(RegistrationState state, Departure departure, Outbox out) {
        if (!state.departure().equals(Optional.of(departure))) {
            return state;
        }
        return answerWaiting(state, ReportVerdict.ACCEPTED, out).withStored();
    }

    /**
     * Answers the waiting reports that their departure is not stored; storing it is attempted again. The target reports
     * again, or exits.
     *
     * @param state the current state
     * @param out receives the effects
     * @return the new state
     */
    public static RegistrationState handleFailure(RegistrationState state, Outbox out) {
        return answerWaiting(state, ReportVerdict.NOT_STORED, out);
    }

    private static RegistrationState answerWaiting(RegistrationState state, ReportVerdict verdict, Outbox out) {
        state.storage().waitingTickets().forEach(ticket -> out.add(new Effect.AcknowledgeTarget(ticket, verdict)));
        return state.withStorage(state.storage().withWaitingTickets(TreePVector.empty()));
    }
}
