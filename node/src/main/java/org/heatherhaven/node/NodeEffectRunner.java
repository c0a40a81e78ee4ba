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
import org.heatherhaven.node.target.OfferedCalls;
import org.heatherhaven.node.target.TargetConnections;

/** Runs the reducer's effects: sends messages, calls the platform, writes to the decision log. */
final class NodeEffectRunner implements EffectRunner {

    /**
     * Log lines per second for each kind of decision. One line is enough to find an example request of each kind of
     * failure, and few enough for a node under load.
     */
    private static final int LOG_LINES_PER_KIND = 1;

    private final Owner self;
    private final Mailbox<Event> mailbox;
    private final Components components;
    private final DecisionLogger logger = new DecisionLogger(LOG_LINES_PER_KIND);

    /**
     * Components of the node that effects act on.
     *
     * @param peerLinks connections that this node opened to peers
     * @param peerServer connections that peers opened
     * @param offers calls offered to this node for its own target
     * @param targetConnections connections to the node's own target
     * @param entryCalls calls that entered at this node
     * @param platform runs the effects that call the platform
     * @param metrics metrics of the node
     * @param decisions log of the latest decisions
     * @param patchHandler completes operators' patches
     * @param reportHandler completes reports of the target
     * @param closeCallers closes the connections of callers, used after a pause of the process
     * @param terminate ends the node
     */
    record Components(
            PeerLinks peerLinks,
            PeerServer peerServer,
            OfferedCalls offers,
            TargetConnections targetConnections,
            EntryCalls entryCalls,
            PlatformGateway platform,
            NodeMetrics metrics,
            DecisionLog decisions,
            PatchHandler patchHandler,
            ReportHandler reportHandler,
            Runnable closeCallers,
            Runnable terminate) {}

    NodeEffectRunner(Owner self, Mailbox<Event> mailbox, Components components) {
        this.self = self;
        this.mailbox = mailbox;
        this.components = components;
    }

    @Override
    public void run(Effect effect) {
        components.metrics().count(effect);
        if (!runTraffic(effect) && !runPlatform(effect)) {
            runControl(effect);
        }
    }

    private boolean runTraffic(Effect effect) {
        if (effect instanceof Effect.ForwardCall forward) {
            components.entryCalls().forward(forward);
        } else if (effect instanceof Effect.RefuseCall refuse) {
            components.entryCalls().refuse(refuse);
        } else if (effect instanceof Effect.CancelAttempt cancel) {
            components.entryCalls().cancel(cancel);
        } else if (effect instanceof Effect.WithdrawAttempt withdrawal) {
            components.entryCalls().withdraw(withdrawal);
        } else if (effect instanceof Effect.RunOffer run) {
            components.offers().run(run, components.targetConnections());
        } else if (effect instanceof Effect.RefuseOffer refuse) {
            components.offers().refuse(refuse);
        } else if (effect instanceof Effect.FinishOffer finish) {
            components.offers().finish(finish);
        } else if (effect instanceof Effect.AbortRun abort) {
            components.offers().abort(abort);
        } else {
            return false;
        }
        return true;
    }

    private boolean runPlatform(Effect effect) {
        if (effect instanceof Effect.ReadGrant read) {
            components.platform().readGrant(read);
        } else if (effect instanceof Effect.CreateGrant create) {
            components.platform().createGrant(create);
        } else if (effect instanceof Effect.UpdateGrant update) {
            components.platform().updateGrant(update);
        } else if (effect instanceof Effect.ReadPolicy read) {
            components.platform().readPolicy(read);
        } else if (effect instanceof Effect.WritePolicy write) {
            components.platform().writePolicy(write);
        } else if (effect instanceof Effect.WriteSnapshot write) {
            components.platform().writeSnapshot(write);
        } else if (effect instanceof Effect.Announce announce) {
            components.platform().announce(announce);
        } else if (effect instanceof Effect.CheckAnnouncement check) {
            components.platform().checkAnnouncement(check);
        } else if (effect instanceof Effect.ReadDeparture read) {
            components.platform().readDeparture(read);
        } else if (effect instanceof Effect.StoreDeparture store) {
            components.platform().storeDeparture(store);
        } else if (effect instanceof Effect.ListMembers list) {
            components.platform().listMembers(self.node(), list);
        } else if (effect instanceof Effect.RemoveAnnouncement remove) {
            components.platform().removeAnnouncement(remove);
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
                components.peerLinks().send(send.to(), send.message());
            }
        } else if (effect instanceof Effect.CloseLinks) {
            components.closeCallers().run();
            mailbox.put(new ControlEvent.LinksClosed(components.peerServer().closeAccepted()));
        } else if (effect instanceof Effect.AnswerPatch answer) {
            components.patchHandler().complete(answer);
        } else if (effect instanceof Effect.AcknowledgeTarget acknowledge) {
            components.reportHandler().acknowledge(acknowledge);
        } else if (effect instanceof Effect.RecordDecision decision) {
            recordDecision(decision);
        } else if (effect instanceof Effect.Terminate) {
            components.terminate().run();
        }
    }

    private void recordDecision(Effect.RecordDecision effect) {
        components.decisions().add(effect.decision());
        logger.log(effect.decision());
    }
}
