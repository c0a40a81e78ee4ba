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
        Step step = new Step(state, now);
        noticePause(step, state);
        long versionBefore = step.policy.policy().version();
        if (event instanceof TrafficEvent traffic) {
            onTraffic(step, traffic);
        } else if (event instanceof PlatformEvent platform) {
            onPlatform(step, platform);
        } else if (event instanceof ControlEvent control) {
            onControl(step, control);
        }
        CallFlow.afterQuota(step);
        if (step.policy.policy().version() != versionBefore) {
            Spreading.policyAdvanced(step, state.policy(), versionBefore);
        }
        return new Result(step.finish(), step.out.effects());
    }

    /**
     * Where callers send unrepeatable requests again under the same key, what lies in connections opened before a pause
     * may be older than the ledgers' memory, so all of them are closed.
     */
    private static void noticePause(Step step, NodeState state) {
        Duration silence = Duration.between(state.steppedAt(), step.now);
        boolean ledgers =
                step.rules.ledger().prepared() || !step.rights.rights().isEmpty();
        if (ledgers && state.steps() > 0 && silence.compareTo(PAUSE_LIMIT) > 0 && !step.thawing) {
            step.thawing = true;
            step.note("node", "pause", "no step for " + silence.toMillis() + " ms", "close connections");
            step.out.add(new Effect.CloseLinks());
        }
    }

    private static void onTraffic(Step step, TrafficEvent event) {
        if (event instanceof CallArrived arrived) {
            CallFlow.arrived(step, arrived);
        } else if (event instanceof AttemptRefused refused) {
            CallFlow.refused(step, refused);
        } else if (event instanceof AttemptLost lost) {
            CallFlow.lost(step, lost);
        } else if (event instanceof AttemptEnded ended) {
            CallFlow.ended(step, ended);
        } else if (event instanceof CallerGone gone) {
            CallFlow.gone(step, gone.call());
        } else if (event instanceof OfferArrived offer) {
            onOffer(step, offer);
        } else if (event instanceof OfferCancelled cancelled) {
            step.guard = GuardLogic.cancelled(step.guard, cancelled.key(), step.out);
        } else if (event instanceof LinkClosed closed) {
            step.guard = GuardLogic.linkClosed(step.guard, closed.link(), step.out);
        } else if (event instanceof TargetEnded ended) {
            onTargetEnded(step, ended);
        }
    }

    private static void onOffer(Step step, OfferArrived offer) {
        if (step.thawing || offer.key().link() < step.linkFloor) {
            return;
        }
        if (Repeats.admits(step, offer)) {
            step.guard = GuardLogic.offered(step.guard, offer.key(), offer.head(), step.now, step.out);
        }
    }

    private static void onTargetEnded(Step step, TargetEnded ended) {
        Running done = step.guard.running().get(ended.key());
        step.guard = GuardLogic.ended(step.guard, ended.key(), ended.result(), step.now, step.out);
        if (done != null && ended.result() == TrafficEvent.TargetResult.ANSWERED) {
            step.callGraph =
                    CallGraphLogic.ran(step.callGraph, done.call().head().route());
        }
        if (done != null && done.children() > 0) {
            CallFlow.contextEnded(step, done.context());
        }
    }

    private static void onPlatform(Step step, PlatformEvent event) {
        if (event instanceof GrantSeen seen) {
            step.rights = RightsLogic.seen(step.rights, seen, step.fleet, step.now, step.out);
            HandOvers.settle(step, seen.lease());
        } else if (event instanceof GrantAbsent absent) {
            step.rights = RightsLogic.absent(step.rights, absent.lease(), step.fleet, step.out);
        } else if (event instanceof GrantResultUnknown unsettled) {
            step.rights = RightsLogic.unsettled(step.rights, unsettled.lease(), step.now);
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

    private static void onControl(Step step, ControlEvent event) {
        if (event instanceof ControlEvent.Tick) {
            onTick(step);
        } else if (event instanceof ClockJumped skip) {
            onTimeSkipped(step, skip.jump());
        } else if (event instanceof SettingsChanged changed) {
            KeyTrust trust =
                    new KeyTrust(changed.keysTrustedFor(), step.rules.keyTrust().peersVouch());
            step.rules = step.rules
                    .withHomeService(changed.homeService())
                    .withLimits(step.rules.retryLimits(), trust, step.rules.drain());
            step.note("node", "reload", "settings were read again", "home service " + changed.homeService());
        } else if (event instanceof PeerMessageReceived said) {
            PeerTalk.heard(step, said.message());
        } else if (event instanceof PatchSubmitted submitted) {
            step.policy = PolicyLogic.submit(step.policy, submitted.patch(), step.now, step.out);
        } else if (event instanceof LinksClosed closed) {
            step.linkFloor = Math.max(step.linkFloor, closed.oldestValidLink());
            step.thawing = false;
        } else if (event instanceof TargetReported reported) {
            TargetTalk.reported(step, reported);
        } else if (event instanceof TargetLeft left) {
            TargetTalk.left(step, left);
        } else if (event instanceof DrainRequested) {
            Draining.begin(step);
        }
    }

    /** If the machine was suspended, what others promised or said has aged without this process noticing. */
    private static void onTimeSkipped(Step step, Duration time) {
        step.policy = step.policy.aged(time);
        step.rights = RightsLogic.aged(step.rights, time);
        step.quota = Borrowing.loansEnded(step.quota);
    }

    private static void onTick(Step step) {
        step.fleet = MembershipLogic.tick(step.fleet, step.rumours(), step.now, step.out);
        Spreading.review(step);
        boolean watches = step.duties.watcher() || MembershipLogic.watcherSilent(step.fleet, step.now);
        step.policy = PolicyLogic.tick(step.policy, watches, step.now, step.out);
        if (!step.rights.rights().isEmpty() || !step.rights.reading().isEmpty()) {
            step.rights = RightsLogic.tick(step.rights, step.fleet, step.now, step.out);
        }
        Spreading.tickHoldings(step);
        step.pressure = step.pressure.prune(step.now);
        step.routePressure = step.routePressure.prune(step.now);
        step.callGraph = CallGraphLogic.tick(step.callGraph, step.now);
        step.guard =
                GuardLogic.pressedBelow(step.guard, Downstream.pressures(step.callGraph, step.routePressure, step.now));
        TargetTalk.tick(step);
        step.guard = GuardLogic.tick(step.guard, step.now, step.out);
        CallFlow.tick(step);
        if (step.fleet.self().status() == MemberStatus.DRAINING) {
            Draining.tick(step);
        }
    }
}
