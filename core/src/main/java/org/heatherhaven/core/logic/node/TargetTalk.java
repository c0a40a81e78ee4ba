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
final class TargetTalk {

    /** Between the word of a target that leaves and the first refusal, so that peers hear of it first. */
    private static final Duration LEAVE_GRACE = Duration.ofMillis(300);

    /** A target that sends nothing for this long is held for dead. */
    private static final Duration REPORT_PATIENCE = Duration.ofSeconds(6);

    private static final String NO_SERVICE = "";

    private TargetTalk() {}

    static void reported(Step step, TargetReported event) {
        TargetReport report = event.report();
        if (!known(step, report.service())) {
            step.note("target", "report", "service " + report.service(), "unknown service");
            step.out.add(new Effect.AcknowledgeTarget(event.ticket(), ReportVerdict.UNKNOWN_SERVICE));
            return;
        }
        RegistrationState before = step.registration;
        step.registration = RegistrationLogic.reported(before, report, step.now);
        boolean taken = step.registration != before;
        if (taken) {
            follow(step, before);
        }
        ReportVerdict verdict = taken ? ReportVerdict.ACCEPTED : ReportVerdict.OUTDATED;
        step.out.add(new Effect.AcknowledgeTarget(event.ticket(), verdict));
    }

    /** Before any policy is known every service may be one of its services. */
    private static boolean known(Step step, String service) {
        return step.policy.policy().version() == 0
                || service.equals(step.rules.homeService())
                || step.policy.policy().routes().values().stream()
                        .flatMap(route -> route.services().stream())
                        .anyMatch(part -> part.service().equals(service));
    }

    static void left(Step step, TargetLeft event) {
        RegistrationState before = step.registration;
        step.registration = RegistrationLogic.left(before, event.instance());
        boolean taken = step.registration != before;
        if (taken) {
            follow(step, before);
        }
        ReportVerdict verdict = taken ? ReportVerdict.ACCEPTED : ReportVerdict.OUTDATED;
        step.out.add(new Effect.AcknowledgeTarget(event.ticket(), verdict));
    }

    private static void follow(Step step, RegistrationState before) {
        step.registration
                .inService()
                .ifPresentOrElse(report -> enter(step, report), () -> leave(step, !before.leaving()));
    }

    private static void enter(Step step, TargetReport report) {
        step.guard = GuardLogic.targetIs(step.guard, report.target(), report.slots());
        announce(step, report.service(), report.slots());
    }

    private static void leave(Step step, boolean news) {
        if (news) {
            step.guard = GuardLogic.targetLeaves(step.guard, step.now.plus(LEAVE_GRACE));
            announce(step, NO_SERVICE, 0);
        }
    }

    private static void announce(Step step, String service, int slots) {
        boolean changed = !step.fleet.self().service().equals(service);
        step.fleet = MembershipLogic.announceTarget(step.fleet, service, slots, step.rumours(), step.now, step.out);
        if (changed) {
            String instance = step.registration
                    .report()
                    .map(report -> report.target().instance())
                    .orElse("none");
            step.note(
                    "target",
                    "announce",
                    "instance " + instance + ", " + slots + " slots",
                    "service '" + service + "'");
        }
    }

    /** Takes a target out that fell silent. */
    static void tick(Step step) {
        boolean silent = RegistrationLogic.silent(step.registration, REPORT_PATIENCE, step.now);
        if (silent && !step.fleet.self().service().isEmpty()) {
            step.guard = GuardLogic.targetLeaves(step.guard, step.now);
            announce(step, NO_SERVICE, 0);
        }
    }
}
