package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.ControlEvent.DrainAsked;
import org.heatherhaven.core.event.ControlEvent.LinksClosed;
import org.heatherhaven.core.event.ControlEvent.PatchSubmitted;
import org.heatherhaven.core.event.ControlEvent.PeerSaid;
import org.heatherhaven.core.event.ControlEvent.SettingsChanged;
import org.heatherhaven.core.event.ControlEvent.TargetLeft;
import org.heatherhaven.core.event.ControlEvent.TargetReported;
import org.heatherhaven.core.event.ControlEvent.TimeSkipped;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.PlatformEvent.GrantAbsent;
import org.heatherhaven.core.event.PlatformEvent.GrantSeen;
import org.heatherhaven.core.event.PlatformEvent.GrantUnsettled;
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
import org.heatherhaven.core.event.TrafficEvent.TargetEnded;
import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.admission.Running;
import org.heatherhaven.core.logic.callgraph.CallGraphLogic;
import org.heatherhaven.core.logic.membership.MemberTables;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.node.NodeRules.KeyTrust;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.model.MemberStatus;

/**
 * The reducer of a node: from a state and an event to the next state and what shall be done.
 *
 * <p>It is deterministic: the same events at the same times give the same effects.
 */
public final class NodeReducer {

    /** A longer silence between two steps means that the process was paused. */
    public static final Duration PAUSE_LIMIT = Duration.ofMillis(1_500);

    private NodeReducer() {}

    /**
     * What a step leads to.
     *
     * @param state the next state
     * @param effects what shall be done, in order
     */
    public record Result(NodeState state, List<Effect> effects) {}

    /**
     * Works on one event.
     *
     * @param state the state
     * @param event what happened
     * @param now current time, never before that of the last step
     * @return the next state and the effects
     */
    public static Result reduce(NodeState state, Event event, Instant now) {
        EventContext step = new EventContext(state, now);
        detectPause(step, state);
        long versionBefore = step.policy.policy().version();
        if (event instanceof TrafficEvent traffic) {
            onTraffic(step, traffic);
        } else if (event instanceof PlatformEvent platform) {
            onPlatform(step, platform);
        } else if (event instanceof ControlEvent control) {
            onControl(step, control);
        }
        EntryCallHandler.applyQuotaResults(step);
        if (step.policy.policy().version() != versionBefore) {
            Dissemination.policyUpdated(step, state.policy(), versionBefore);
        }
        return new Result(step.nextState(), step.out.effects());
    }

    /**
     * Where callers send unrepeatable requests again under the same key, what lies in connections opened before a pause
     * may be older than the ledgers' memory, so all of them are closed.
     */
    private static void detectPause(EventContext step, NodeState state) {
        Duration silence = Duration.between(state.lastEventAt(), step.now);
        boolean ledgers =
                step.rules.ledger().prepared() || !step.leases.rights().isEmpty();
        if (ledgers && state.eventCount() > 0 && silence.compareTo(PAUSE_LIMIT) > 0 && !step.resumedAfterPause) {
            step.resumedAfterPause = true;
            step.recordDecision("node", "pause", "no step for " + silence.toMillis() + " ms", "close connections");
            step.out.add(new Effect.CloseLinks());
        }
    }

    private static void onTraffic(EventContext step, TrafficEvent event) {
        if (event instanceof CallArrived arrived) {
            EntryCallHandler.arrived(step, arrived);
        } else if (event instanceof AttemptRefused refused) {
            EntryCallHandler.attemptRefused(step, refused);
        } else if (event instanceof AttemptLost lost) {
            EntryCallHandler.attemptLost(step, lost);
        } else if (event instanceof AttemptEnded ended) {
            EntryCallHandler.attemptEnded(step, ended);
        } else if (event instanceof CallerGone gone) {
            EntryCallHandler.callerGone(step, gone.call());
        } else if (event instanceof OfferArrived offer) {
            onOffer(step, offer);
        } else if (event instanceof OfferCancelled cancelled) {
            step.admission = GuardLogic.cancelled(step.admission, cancelled.key(), step.out);
        } else if (event instanceof LinkClosed closed) {
            step.admission = GuardLogic.linkClosed(step.admission, closed.link(), step.out);
        } else if (event instanceof TargetEnded ended) {
            onTargetEnded(step, ended);
        }
    }

    private static void onOffer(EventContext step, OfferArrived offer) {
        if (step.resumedAfterPause || offer.key().link() < step.oldestValidLink) {
            return;
        }
        if (RetryAdmission.admits(step, offer)) {
            step.admission = GuardLogic.offered(step.admission, offer.key(), offer.head(), step.now, step.out);
        }
    }

    private static void onTargetEnded(EventContext step, TargetEnded ended) {
        Running done = step.admission.running().get(ended.key());
        step.admission = GuardLogic.ended(step.admission, ended.key(), ended.result(), step.now, step.out);
        if (done != null && ended.result() == TrafficEvent.TargetResult.ANSWERED) {
            step.callGraph =
                    CallGraphLogic.ran(step.callGraph, done.call().head().route());
        }
        if (done != null && done.children() > 0) {
            EntryCallHandler.parentEnded(step, done.context());
        }
    }

    private static void onPlatform(EventContext step, PlatformEvent event) {
        if (event instanceof GrantSeen seen) {
            step.leases = RightsLogic.seen(step.leases, seen, step.fleet, step.now, step.out);
            LeaseHandovers.applyGrant(step, seen.right());
        } else if (event instanceof GrantAbsent absent) {
            step.leases = RightsLogic.absent(step.leases, absent.right(), step.fleet, step.out);
        } else if (event instanceof GrantUnsettled unsettled) {
            step.leases = RightsLogic.unsettled(step.leases, unsettled.right(), step.now);
        } else if (event instanceof PolicyRead read) {
            step.policy = PolicyLogic.read(step.policy, read, step.now, step.out);
        } else if (event instanceof PlatformEvent.PolicyReadFailed) {
            step.policy = PolicyLogic.readFailed(step.policy, step.now);
        } else if (event instanceof PolicyWritten written) {
            step.policy = PolicyLogic.written(step.policy, written, step.now, step.out);
        } else if (event instanceof PlatformEvent.SelfAnnounced announced) {
            if (announced.replaced()) {
                step.placement = PlacementLogic.knownBefore(step.placement, step.now);
            }
        } else if (event instanceof MembersListed listed) {
            step.fleet = MemberTables.listed(step.fleet, listed.members(), step.now, step.out);
        }
    }

    private static void onControl(EventContext step, ControlEvent event) {
        if (event instanceof ControlEvent.Tick) {
            onTick(step);
        } else if (event instanceof TimeSkipped skip) {
            onTimeSkipped(step, skip.time());
        } else if (event instanceof SettingsChanged changed) {
            KeyTrust trust =
                    new KeyTrust(changed.keysTrustedFor(), step.rules.keyTrust().peerContactSuffices());
            step.rules = step.rules
                    .withHomeService(changed.homeService())
                    .withLimits(step.rules.retryLimits(), trust, step.rules.drain());
            step.recordDecision("node", "reload", "settings were read again", "home service " + changed.homeService());
        } else if (event instanceof PeerSaid said) {
            PeerMessageHandler.handle(step, said.message());
        } else if (event instanceof PatchSubmitted submitted) {
            step.policy = PolicyLogic.submit(step.policy, submitted.patch(), step.now, step.out);
        } else if (event instanceof LinksClosed closed) {
            step.oldestValidLink = Math.max(step.oldestValidLink, closed.floor());
            step.resumedAfterPause = false;
        } else if (event instanceof TargetReported reported) {
            TargetEventHandler.reported(step, reported);
        } else if (event instanceof TargetLeft left) {
            TargetEventHandler.left(step, left);
        } else if (event instanceof DrainAsked) {
            Draining.begin(step);
        }
    }

    /** If the machine was suspended, what others promised or said has aged without this process noticing. */
    private static void onTimeSkipped(EventContext step, Duration time) {
        step.policy = step.policy.aged(time);
        step.leases = RightsLogic.aged(step.leases, time);
        step.quota = Borrowing.loansEnded(step.quota);
    }

    private static void onTick(EventContext step) {
        step.fleet = MembershipLogic.tick(step.fleet, step.gossipUpdate(), step.now, step.out);
        Dissemination.reviewWatcherRole(step);
        boolean watches = step.watcherRole.watcher() || MembershipLogic.watcherSilent(step.fleet, step.now);
        step.policy = PolicyLogic.tick(step.policy, watches, step.now, step.out);
        if (!step.leases.rights().isEmpty() || !step.leases.reading().isEmpty()) {
            step.leases = RightsLogic.tick(step.leases, step.fleet, step.now, step.out);
        }
        Dissemination.tickQuotaAndLedgers(step);
        step.entryThresholds = step.entryThresholds.prune(step.now);
        step.routePressure = step.routePressure.prune(step.now);
        step.callGraph = CallGraphLogic.tick(step.callGraph, step.now);
        step.admission = GuardLogic.pressedBelow(
                step.admission, DownstreamPressure.byRoute(step.callGraph, step.routePressure, step.now));
        TargetEventHandler.tick(step);
        step.admission = GuardLogic.tick(step.admission, step.now, step.out);
        EntryCallHandler.tick(step);
        if (step.fleet.self().status() == MemberStatus.DRAINING) {
            Draining.tick(step);
        }
    }
}
