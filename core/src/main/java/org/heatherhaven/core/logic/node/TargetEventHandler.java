package org.heatherhaven.core.logic.node;

import java.time.Duration;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Effect.ReportVerdict;
import org.heatherhaven.core.event.ControlEvent.TargetLeft;
import org.heatherhaven.core.event.ControlEvent.TargetReported;
import org.heatherhaven.core.event.PlatformEvent.DepartureRead;
import org.heatherhaven.core.event.TrafficEvent.TargetAnomalySeen;
import org.heatherhaven.core.logic.admission.AdmissionLogic;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.registration.DepartureLogic;
import org.heatherhaven.core.logic.registration.RegistrationLogic;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.TargetReport;

/** Applies reports of this node's target to admission, and announces its service to the fleet. */
final class TargetEventHandler {

    /** Time from a target's report that it is leaving to the first refusal, so that peers are informed first. */
    private static final Duration LEAVE_GRACE = Duration.ofMillis(300);

    /** A target that sends no report for this long is considered dead. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(6);

    private static final String NO_SERVICE = "";

    private TargetEventHandler() {}

    /** Handles a report of the target; reports for unknown services and outdated ones are acknowledged as such. */
    static void reported(EventContext context, TargetReported event) {
        TargetReport report = event.report();
        if (!isKnownService(context, report.service())) {
            context.recordDecision("target", "report", "service " + report.service(), "unknown service");
            context.out.add(new Effect.AcknowledgeTarget(event.ticket(), ReportVerdict.UNKNOWN_SERVICE));
            return;
        }
        if (DepartureLogic.mustWait(context.registration, report)) {
            context.registration = DepartureLogic.hold(context.registration, report);
            context.out.add(new Effect.AcknowledgeTarget(event.ticket(), ReportVerdict.ACCEPTED));
            return;
        }
        RegistrationState before = context.registration;
        boolean accepted = applyReport(context, report);
        if (report.leaving()) {
            acknowledgeDeparture(context, before, event.ticket());
            return;
        }
        ReportVerdict verdict = accepted ? ReportVerdict.ACCEPTED : ReportVerdict.OUTDATED;
        context.out.add(new Effect.AcknowledgeTarget(event.ticket(), verdict));
    }

    /** Applies a report of the target; returns false if it is outdated. */
    private static boolean applyReport(EventContext context, TargetReport report) {
        RegistrationState before = context.registration;
        context.registration = RegistrationLogic.handleReport(before, report, context.now);
        boolean accepted = context.registration != before;
        if (accepted) {
            applyRegistration(context, before);
        }
        return accepted;
    }

    private static void acknowledgeDeparture(EventContext context, RegistrationState before, long ticket) {
        context.registration = DepartureLogic.acknowledge(
                before, context.registration, context.self(), ticket, context.now, context.out);
    }

    /** Applies the departure that an earlier process of this node stored, then the report that waited for it. */
    static void departureRead(EventContext context, DepartureRead read) {
        RegistrationState before = context.registration;
        context.registration = DepartureLogic.handleRead(before, read.departure());
        if (!context.registration.departure().equals(before.departure())) {
            String instance = read.departure().map(Departure::instance).orElse("none");
            context.recordDecision("target", "departure", "instance " + instance + " left before", "out of service");
        }
        if (context.registration.storage().earlierKnown()) {
            before.storage().heldReport().ifPresent(report -> applyReport(context, report));
        }
    }

    /**
     * Returns whether a service is the home service or named in the policy. Before any policy is in force, only a node
     * without a home service accepts others: a report of a service that nobody names would stay in force.
     */
    private static boolean isKnownService(EventContext context, String service) {
        String home = context.rules.homeService();
        return service.equals(home)
                || home.isEmpty() && context.policy.policy().version() == 0
                || context.policy.policy().routes().values().stream()
                        .flatMap(route -> route.services().stream())
                        .anyMatch(weighted -> weighted.service().equals(service));
    }

    /** Handles the target's report that it stops for good. */
    static void left(EventContext context, TargetLeft event) {
        RegistrationState before = context.registration;
        context.registration = RegistrationLogic.handleDeparture(before, event.instance(), context.now);
        if (context.registration != before) {
            applyRegistration(context, before);
        }
        acknowledgeDeparture(context, before, event.ticket());
    }

    /** Puts the target in service, or out of service if its latest report says that it is leaving. */
    private static void applyRegistration(EventContext context, RegistrationState before) {
        context.registration
                .activeReport()
                .ifPresentOrElse(
                        report -> putInService(context, report), () -> takeOutOfService(context, !before.leaving()));
    }

    /** Admits calls to the target, and announces its service and slots to the fleet. */
    private static void putInService(EventContext context, TargetReport report) {
        context.admission =
                AdmissionLogic.targetAvailable(context.admission, report.target(), report.service(), report.slots());
        announce(context, report.service(), report.slots());
    }

    /**
     * Stops admitting calls to a leaving target, after a grace period.
     *
     * @param newlyLeaving false if the departure was reported and announced before
     */
    private static void takeOutOfService(EventContext context, boolean newlyLeaving) {
        if (newlyLeaving) {
            context.admission = AdmissionLogic.targetLeaving(context.admission, context.now.plus(LEAVE_GRACE));
            announce(context, NO_SERVICE, 0);
        }
    }

    /**
     * Announces the service of the target to the fleet.
     *
     * @param service service of the target, empty if there is none
     * @param slots number of calls that the target runs at a time
     */
    private static void announce(EventContext context, String service, int slots) {
        boolean changed = !context.fleet.self().service().equals(service);
        context.fleet = MembershipLogic.announceTarget(
                context.fleet, service, slots, context.gossipUpdate(), context.now, context.out);
        if (changed) {
            String instance = context.registration
                    .report()
                    .map(report -> report.target().instance())
                    .orElse("none");
            context.recordDecision(
                    "target",
                    "announce",
                    "instance " + instance + ", " + slots + " slots",
                    "service '" + service + "'");
        }
    }

    /** Records and counts what the target sent beside or instead of the response to the call in hand. */
    static void anomalySeen(EventContext context, TargetAnomalySeen seen) {
        context.recordDecision(
                seen.requestId(), "target answer", seen.detail(), seen.anomaly().label());
        context.out.add(new Effect.CountAnomaly(seen.anomaly()));
    }

    /** Reads or stores the departure if that is due, and takes a target out of service whose reports have stopped. */
    static void tick(EventContext context) {
        context.registration = DepartureLogic.tick(context.registration, context.self(), context.now, context.out);
        boolean overdue = RegistrationLogic.overdue(context.registration, REPORT_TIMEOUT, context.now);
        if (overdue && !context.fleet.self().service().isEmpty()) {
            context.admission = AdmissionLogic.targetLeaving(context.admission, context.now);
            announce(context, NO_SERVICE, 0);
        }
    }
}
