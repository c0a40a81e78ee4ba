package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.ControlEvent.ClockJumped;
import org.heatherhaven.core.event.ControlEvent.DrainRequested;
import org.heatherhaven.core.event.ControlEvent.LinksClosed;
import org.heatherhaven.core.event.ControlEvent.PatchSubmitted;
import org.heatherhaven.core.event.ControlEvent.PeerMessageReceived;
import org.heatherhaven.core.event.ControlEvent.SettingsChanged;
import org.heatherhaven.core.event.ControlEvent.TargetLeft;
import org.heatherhaven.core.event.ControlEvent.TargetReported;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.PlatformEvent.DepartureRead;
import org.heatherhaven.core.event.PlatformEvent.DepartureStored;
import org.heatherhaven.core.event.PlatformEvent.DepartureUnknown;
import org.heatherhaven.core.event.PlatformEvent.GrantAbsent;
import org.heatherhaven.core.event.PlatformEvent.GrantResultUnknown;
import org.heatherhaven.core.event.PlatformEvent.GrantSeen;
import org.heatherhaven.core.event.PlatformEvent.MembersListed;
import org.heatherhaven.core.event.PlatformEvent.PolicyRead;
import org.heatherhaven.core.event.PlatformEvent.PolicyWritten;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.AttemptEnded;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.event.TrafficEvent.CallerGone;
import org.heatherhaven.core.event.TrafficEvent.LinkClosed;
import org.heatherhaven.core.event.TrafficEvent.OfferArrived;
import org.heatherhaven.core.event.TrafficEvent.OfferCancelled;
import org.heatherhaven.core.event.TrafficEvent.TargetAnomalySeen;
import org.heatherhaven.core.event.TrafficEvent.TargetEnded;
import org.heatherhaven.core.logic.admission.AdmissionLogic;
import org.heatherhaven.core.logic.admission.RunningCall;
import org.heatherhaven.core.logic.callgraph.CallGraphLogic;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.membership.AnnouncementLogic;
import org.heatherhaven.core.logic.membership.MemberTableSync;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.node.NodeRules.KeyTrust;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.registration.DepartureLogic;
import org.heatherhaven.core.model.MemberStatus;

/**
 * The reducer of a node: computes the next state and the effects to carry out from a state and an event.
 *
 * <p>It is deterministic: the same events at the same times give the same effects.
 */
public final class NodeReducer {

    /** A longer time between two events means that the process was paused. */
    public static final Duration PAUSE_LIMIT = Duration.ofMillis(1_500);

    private NodeReducer() {}

    /**
     * The result of one event.
     *
     * @param state the next state
     * @param effects effects to carry out, in order
     */
    public record Result(NodeState state, List<Effect> effects) {}

    /**
     * Handles one event.
     *
     * @param state the state
     * @param event what happened
     * @param now current time, never before that of the last event
     * @return the next state and the effects
     */
    public static Result reduce(NodeState state, Event event, Instant now) {
        EventContext context = new EventContext(state, now);
        detectPause(context, state);
        long versionBefore = context.policy.policy().version();
        if (event instanceof TrafficEvent traffic) {
            onTraffic(context, traffic);
        } else if (event instanceof PlatformEvent platform) {
            onPlatform(context, platform);
        } else if (event instanceof ControlEvent control) {
            onControl(context, control);
        }
        EntryCallHandler.applyQuotaResults(context);
        if (context.policy.policy().version() != versionBefore) {
            Dissemination.policyUpdated(context, state.policy(), versionBefore);
        }
        return new Result(context.nextState(), context.out.effects());
    }

    /**
     * Checks this node's announcement after a pause of the process, and closes all connections opened by peers if
     * idempotency ledgers are in use. A request buffered in such a connection may be older than the time for which
     * ledgers store keys, so that a resubmission under the same key could run twice.
     */
    private static void detectPause(EventContext context, NodeState state) {
        Duration idleTime = Duration.between(state.lastEventAt(), context.now);
        if (state.eventCount() == 0 || idleTime.compareTo(PAUSE_LIMIT) <= 0) {
            return;
        }
        context.announcement = AnnouncementLogic.suspectRemoval(context.announcement, context.fleet, context.now);
        boolean usesLedgers = context.rules.ledger().openedWithPolicy()
                || !context.leases.leases().isEmpty();
        if (usesLedgers && !context.resumedAfterPause) {
            context.resumedAfterPause = true;
            context.recordDecision("node", "pause", "no step for " + idleTime.toMillis() + " ms", "close connections");
            context.out.add(new Effect.CloseLinks());
        }
    }

    private static void onTraffic(EventContext context, TrafficEvent event) {
        if (event instanceof CallArrived arrived) {
            EntryCallHandler.arrived(context, arrived);
        } else if (event instanceof AttemptRefused refused) {
            EntryCallHandler.attemptRefused(context, refused);
        } else if (event instanceof AttemptLost lost) {
            EntryCallHandler.attemptLost(context, lost);
        } else if (event instanceof AttemptEnded ended) {
            EntryCallHandler.attemptEnded(context, ended);
        } else if (event instanceof CallerGone gone) {
            EntryCallHandler.callerGone(context, gone.call());
        } else if (event instanceof OfferArrived offer) {
            onOffer(context, offer);
        } else if (event instanceof OfferCancelled cancelled) {
            context.admission = AdmissionLogic.cancelled(context.admission, cancelled.key(), context.out);
        } else if (event instanceof LinkClosed closed) {
            context.admission = AdmissionLogic.linkClosed(context.admission, closed.link(), context.out);
        } else if (event instanceof TargetEnded ended) {
            onTargetEnded(context, ended);
        } else if (event instanceof TargetAnomalySeen seen) {
            TargetEventHandler.anomalySeen(context, seen);
        }
    }

    /**
     * Passes an offered call to admission. Offers on connections that are due to be closed after a pause are dropped;
     * retries must be covered by the retry budget.
     */
    private static void onOffer(EventContext context, OfferArrived offer) {
        if (context.resumedAfterPause || offer.key().link() < context.oldestValidLink) {
            return;
        }
        if (RetryAdmission.admits(context, offer)) {
            context.admission =
                    AdmissionLogic.offered(context.admission, offer.key(), offer.head(), context.now, context.out);
        }
    }

    /**
     * Handles the end of a call at the target, counts it in the call graph if it was answered, and abandons the calls
     * that the target made for it.
     */
    private static void onTargetEnded(EventContext context, TargetEnded ended) {
        RunningCall running = context.admission.running().get(ended.key());
        context.admission =
                AdmissionLogic.ended(context.admission, ended.key(), ended.result(), context.now, context.out);
        if (running != null && ended.result() == TrafficEvent.TargetResult.ANSWERED) {
            context.callGraph = CallGraphLogic.runEnded(
                    context.callGraph, running.call().head().route());
        }
        if (running != null && running.children() > 0) {
            EntryCallHandler.parentEnded(context, running.context());
        }
    }

    private static void onPlatform(EventContext context, PlatformEvent event) {
        if (event instanceof GrantSeen seen) {
            context.leases = LeasesLogic.handleGrantSeen(context.leases, seen, context.fleet, context.now, context.out);
            LeaseHandovers.applyGrant(context, seen.lease());
        } else if (event instanceof GrantAbsent absent) {
            context.leases = LeasesLogic.handleGrantAbsent(context.leases, absent.lease(), context.fleet, context.out);
        } else if (event instanceof GrantResultUnknown unknown) {
            context.leases = LeasesLogic.handleUnknownResult(context.leases, unknown.lease(), context.now);
        } else if (event instanceof PolicyRead read) {
            context.policy = PolicyLogic.handleRead(context.policy, read, context.now, context.out);
        } else if (event instanceof PlatformEvent.PolicyReadFailed) {
            context.policy = PolicyLogic.handleReadFailure(context.policy, context.now);
        } else if (event instanceof PolicyWritten written) {
            context.policy = PolicyLogic.handleWriteResult(context.policy, written, context.now, context.out);
        } else if (event instanceof PlatformEvent.SelfAnnounced announced) {
            onAnnounced(context, announced);
        } else if (event instanceof PlatformEvent.AnnouncementUnknown) {
            context.announcement = AnnouncementLogic.handleFailure(context.announcement, context.now, context.out);
        } else if (event instanceof DepartureRead read) {
            TargetEventHandler.departureRead(context, read);
        } else if (event instanceof DepartureStored stored) {
            context.registration = DepartureLogic.handleStored(context.registration, stored.departure(), context.out);
        } else if (event instanceof DepartureUnknown) {
            context.registration = DepartureLogic.handleFailure(context.registration, context.out);
        } else if (event instanceof MembersListed listed) {
            context.fleet = MemberTableSync.handleMemberList(context.fleet, listed.members(), context.now, context.out);
        }
    }

    private static void onAnnounced(EventContext context, PlatformEvent.SelfAnnounced announced) {
        if (announced.replaced()) {
            context.placement = PlacementLogic.allowLending(context.placement, context.now);
        }
        if (context.announcement.written()) {
            context.recordDecision("node", "announce", "its announcement was missing", "announced again");
        }
        context.announcement =
                AnnouncementLogic.handleWritten(context.announcement, context.fleet, context.now, context.out);
    }

    private static void onControl(EventContext context, ControlEvent event) {
        if (event instanceof ControlEvent.Tick) {
            onTick(context);
        } else if (event instanceof ClockJumped clockJump) {
            onClockJumped(context, clockJump.jump());
        } else if (event instanceof SettingsChanged changed) {
            KeyTrust trust = new KeyTrust(
                    changed.keysTrustedFor(), context.rules.keyTrust().peerContactSuffices());
            context.rules = context.rules
                    .withHomeService(changed.homeService())
                    .withLimits(context.rules.retryLimits(), trust, context.rules.drain());
            context.recordDecision(
                    "node", "reload", "settings were read again", "home service " + changed.homeService());
        } else if (event instanceof PeerMessageReceived received) {
            PeerMessageHandler.handle(context, received.message());
        } else if (event instanceof PatchSubmitted submitted) {
            context.policy = PolicyLogic.submit(context.policy, submitted.patch(), context.now, context.out);
        } else if (event instanceof LinksClosed closed) {
            context.oldestValidLink = Math.max(context.oldestValidLink, closed.oldestValidLink());
            context.resumedAfterPause = false;
        } else if (event instanceof TargetReported reported) {
            TargetEventHandler.reported(context, reported);
        } else if (event instanceof TargetLeft left) {
            TargetEventHandler.left(context, left);
        } else if (event instanceof DrainRequested) {
            Draining.begin(context);
        }
    }

    /**
     * Handles a jump of the time of day ahead of the monotonic clock. If the machine was suspended, lease renewals,
     * loans and the confirmation of the policy have aged by that time although the monotonic clock does not show it.
     */
    private static void onClockJumped(EventContext context, Duration jump) {
        context.policy = context.policy.withConfirmationAgedBy(jump);
        context.leases = LeasesLogic.expireEarlier(context.leases, jump);
        context.quota = Borrowing.discardLoans(context.quota);
        context.announcement = AnnouncementLogic.suspectRemoval(context.announcement, context.fleet, context.now);
    }

    /** Runs the periodic tasks of all parts. */
    private static void onTick(EventContext context) {
        context.fleet = MembershipLogic.tick(context.fleet, context.gossipUpdate(), context.now, context.out);
        context.announcement = AnnouncementLogic.tick(context.announcement, context.fleet, context.now, context.out);
        Dissemination.reviewWatcherRole(context);
        boolean watchesPlatform =
                context.watcherRole.watcher() || MembershipLogic.watcherUnresponsive(context.fleet, context.now);
        context.policy = PolicyLogic.tick(context.policy, watchesPlatform, context.now, context.out);
        if (!context.leases.leases().isEmpty() || !context.leases.pendingReads().isEmpty()) {
            context.leases = LeasesLogic.tick(context.leases, context.fleet, context.now, context.out);
        }
        Dissemination.tickQuotaAndLedgers(context);
        context.entryThresholds = context.entryThresholds.prune(context.now);
        context.routePressure = context.routePressure.prune(context.now);
        context.callGraph = CallGraphLogic.tick(context.callGraph, context.now);
        context.admission = AdmissionLogic.downstreamPressureChanged(
                context.admission, DownstreamPressure.byRoute(context.callGraph, context.routePressure, context.now));
        TargetEventHandler.tick(context);
        context.admission = AdmissionLogic.tick(context.admission, context.now, context.out);
        EntryCallHandler.tick(context);
        if (context.fleet.self().status() == MemberStatus.DRAINING) {
            Draining.tick(context);
        }
    }
}
