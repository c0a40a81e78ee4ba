package org.heatherhaven.core.logic.node;

import java.time.Duration;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Effect.ReportVerdict;
import org.heatherhaven.core.event.ControlEvent.TargetLeft;
import org.heatherhaven.core.event.ControlEvent.TargetReported;
import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.registration.RegistrationLogic;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.model.TargetReport;

/** Takes what the target says of itself to the guard, and to the fleet. */
final class TargetEventHandler {

    /** Between the word of a target that leaves and the first refusal, so that peers hear of it first. */
    private static final Duration LEAVE_GRACE = Duration.ofMillis(300);

    /** A target that sends nothing for this long is held for dead. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(6);

    private static final String NO_SERVICE = "";

    private TargetEventHandler() {}

    static void reported(EventContext step, TargetReported event) {
        TargetReport report = event.report();
        if (!isKnownService(step, report.service())) {
            step.recordDecision("target", "report", "service " + report.service(), "unknown service");
            step.out.add(new Effect.AcknowledgeTarget(event.ticket(), ReportVerdict.UNKNOWN_SERVICE));
            return;
        }
        RegistrationState before = step.registration;
        step.registration = RegistrationLogic.reported(before, report, step.now);
        boolean taken = step.registration != before;
        if (taken) {
            applyRegistration(step, before);
        }
        ReportVerdict verdict = taken ? ReportVerdict.TAKEN : ReportVerdict.OUTDATED;
        step.out.add(new Effect.AcknowledgeTarget(event.ticket(), verdict));
    }

    /** Before any policy is known every service may be one of its services. */
    private static boolean isKnownService(EventContext step, String service) {
        return step.policy.policy().version() == 0
                || service.equals(step.rules.homeService())
                || step.policy.policy().routes().values().stream()
                        .flatMap(route -> route.services().stream())
                        .anyMatch(part -> part.service().equals(service));
    }

    static void left(EventContext step, TargetLeft event) {
        RegistrationState before = step.registration;
        step.registration = RegistrationLogic.left(before, event.instance());
        boolean taken = step.registration != before;
        if (taken) {
            applyRegistration(step, before);
        }
        ReportVerdict verdict = taken ? ReportVerdict.TAKEN : ReportVerdict.OUTDATED;
        step.out.add(new Effect.AcknowledgeTarget(event.ticket(), verdict));
    }

    private static void applyRegistration(EventContext step, RegistrationState before) {
        step.registration
                .inService()
                .ifPresentOrElse(report -> putInService(step, report), () -> takeOutOfService(step, !before.leaving()));
    }

    private static void putInService(EventContext step, TargetReport report) {
        step.admission = GuardLogic.targetIs(step.admission, report.target(), report.slots());
        announce(step, report.service(), report.slots());
    }

    private static void takeOutOfService(EventContext step, boolean news) {
        if (news) {
            step.admission = GuardLogic.targetLeaves(step.admission, step.now.plus(LEAVE_GRACE));
            announce(step, NO_SERVICE, 0);
        }
    }

    private static void announce(EventContext step, String service, int slots) {
        boolean changed = !step.fleet.self().service().equals(service);
        step.fleet =
                MembershipLogic.announceTarget(step.fleet, service, slots, step.gossipUpdate(), step.now, step.out);
        if (changed) {
            String instance = step.registration
                    .report()
                    .map(report -> report.target().instance())
                    .orElse("none");
            step.recordDecision(
                    "target",
                    "announce",
                    "instance " + instance + ", " + slots + " slots",
                    "service '" + service + "'");
        }
    }

    /** Takes a target out that fell silent. */
    static void tick(EventContext step) {
        boolean silent = RegistrationLogic.silent(step.registration, REPORT_TIMEOUT, step.now);
        if (silent && !step.fleet.self().service().isEmpty()) {
            step.admission = GuardLogic.targetLeaves(step.admission, step.now);
            announce(step, NO_SERVICE, 0);
        }
    }
}
