package org.heatherhaven.node;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.node.control.EffectRunner;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.entry.EntryCalls;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.operator.DecisionLog;
import org.heatherhaven.node.operator.DecisionLogger;
import org.heatherhaven.node.operator.PatchHandler;
import org.heatherhaven.node.peer.PeerLinks;
import org.heatherhaven.node.peer.PeerServer;
import org.heatherhaven.node.platform.PlatformGateway;
import org.heatherhaven.node.target.GuardedCalls;
import org.heatherhaven.node.target.TargetConnections;

/** Carries out the reducer's effects on sockets, platform and logs. */
final class Interpreter implements EffectRunner {

    /** Enough to find a request of each kind of failure, few enough for a node under load. */
    private static final int LOG_LINES_PER_KIND = 1;

    private final Owner self;
    private final Mailbox<Event> mailbox;
    private final Parts parts;
    private final DecisionLogger logger = new DecisionLogger(LOG_LINES_PER_KIND);

    /**
     * What effects are carried out on.
     *
     * @param peers connections opened to peers
     * @param server connections opened by peers
     * @param guarded calls for the node's own target
     * @param target the node's own target
     * @param entered calls that entered here
     * @param platform the platform
     * @param metrics what the node counts
     * @param decisions the latest decisions
     * @param patches operators' patches
     * @param closeCallers closes callers' connections, after a pause
     * @param leave ends the process
     */
    record Parts(
            PeerLinks peers,
            PeerServer server,
            GuardedCalls guarded,
            TargetConnections target,
            EntryCalls entered,
            PlatformGateway platform,
            NodeMetrics metrics,
            DecisionLog decisions,
            PatchHandler patches,
            ReportHandler reports,
            Runnable closeCallers,
            Runnable leave) {}

    Interpreter(Owner self, Mailbox<Event> mailbox, Parts parts) {
        this.self = self;
        this.mailbox = mailbox;
        this.parts = parts;
    }

    @Override
    public void run(Effect effect) {
        parts.metrics().count(effect);
        if (!runTraffic(effect) && !runPlatform(effect)) {
            runControl(effect);
        }
    }

    private boolean runTraffic(Effect effect) {
        if (effect instanceof Effect.ForwardCall forward) {
            parts.entered().forward(forward);
        } else if (effect instanceof Effect.RefuseCall refuse) {
            parts.entered().refuse(refuse);
        } else if (effect instanceof Effect.CancelAttempt cancel) {
            parts.entered().cancel(cancel);
        } else if (effect instanceof Effect.RunOffer run) {
            parts.guarded().run(run, parts.target());
        } else if (effect instanceof Effect.RefuseOffer refuse) {
            parts.guarded().refuse(refuse);
        } else if (effect instanceof Effect.FinishOffer finish) {
            parts.guarded().finish(finish);
        } else if (effect instanceof Effect.AbortRun abort) {
            parts.guarded().abort(abort);
        } else {
            return false;
        }
        return true;
    }

    private boolean runPlatform(Effect effect) {
        if (effect instanceof Effect.ReadGrant read) {
            parts.platform().readGrant(read);
        } else if (effect instanceof Effect.CreateGrant create) {
            parts.platform().createGrant(create);
        } else if (effect instanceof Effect.UpdateGrant update) {
            parts.platform().updateGrant(update);
        } else if (effect instanceof Effect.ReadPolicy read) {
            parts.platform().readPolicy(read);
        } else if (effect instanceof Effect.WritePolicy write) {
            parts.platform().writePolicy(write);
        } else if (effect instanceof Effect.WriteSnapshot write) {
            parts.platform().writeSnapshot(write);
        } else if (effect instanceof Effect.ListMembers) {
            parts.platform().listMembers(self.node());
        } else if (effect instanceof Effect.RemoveAnnouncement remove) {
            parts.platform().removeAnnouncement(remove);
        } else {
            return false;
        }
        return true;
    }

    private void runControl(Effect effect) {
        if (effect instanceof Effect.Send send) {
            if (send.to().equals(self.node())) {
                mailbox.put(new ControlEvent.PeerMessageReceived(send.message()));
            } else {
                parts.peers().send(send.to(), send.message());
            }
        } else if (effect instanceof Effect.CloseLinks) {
            parts.closeCallers().run();
            mailbox.put(new ControlEvent.LinksClosed(parts.server().closeAccepted()));
        } else if (effect instanceof Effect.AnswerPatch answer) {
            parts.patches().complete(answer);
        } else if (effect instanceof Effect.AcknowledgeTarget acknowledge) {
            parts.reports().acknowledge(acknowledge);
        } else if (effect instanceof Effect.RecordDecision note) {
            note(note);
        } else if (effect instanceof Effect.Terminate) {
            parts.leave().run();
        }
    }

    private void note(Effect.RecordDecision note) {
        parts.decisions().add(note.decision());
        logger.log(note.decision());
    }
}
