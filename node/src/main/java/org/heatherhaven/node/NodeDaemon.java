package org.heatherhaven.node;

import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.heatherhaven.core.effect.Effect.AnswerPatch;
import org.heatherhaven.core.effect.Effect.ReportVerdict;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.core.model.TargetReport;
import org.heatherhaven.node.control.ControlLoop;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.control.SteadyClock;
import org.heatherhaven.node.entry.CallerServer;
import org.heatherhaven.node.entry.EntryCalls;
import org.heatherhaven.node.http.PageServer;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.operator.DecisionLog;
import org.heatherhaven.node.operator.OperatorHandler;
import org.heatherhaven.node.operator.PatchHandler;
import org.heatherhaven.node.peer.PeerLinks;
import org.heatherhaven.node.peer.PeerServer;
import org.heatherhaven.node.peer.PeerSettings;
import org.heatherhaven.node.platform.PlatformGateway;
import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.target.GuardedCalls;
import org.heatherhaven.node.target.TargetConnections;
import org.heatherhaven.node.target.TargetSettings;
import org.heatherhaven.node.wire.FleetSecrets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One node: listeners, connections, the control thread, and their orderly start and end. */
public final class NodeDaemon {

    private static final Logger LOGGER = LoggerFactory.getLogger(NodeDaemon.class);
    private static final int MAX_DECISIONS = 4_096;
    private static final Duration ANNOUNCE_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration TERMINATION_DELAY = Duration.ofMillis(300);

    private final NodeSettings settings;
    private final SteadyClock clock = new SteadyClock();
    private final NodeMetrics metrics = new NodeMetrics();
    private final Mailbox<Event> mailbox;
    private final EventLoopGroup group;
    private final Member self;
    private final PeerLinks peerLinks;
    private final PeerServer peerServer;
    private final TargetConnections targetConnections;
    private final Integration integration;
    private final PlatformGateway platformGateway;
    private final CallerServer callerServer;
    private final Optional<CallerServer> targetCallServer;
    private final EntryCalls entryCalls;
    private final PageServer operatorServer;
    private final ReportHandler reportHandler;
    private final ControlLoop controlLoop;
    private final PatchHandler patchHandler;
    private volatile boolean draining;
    private final AtomicBoolean terminating = new AtomicBoolean();
    private final CountDownLatch terminated = new CountDownLatch(1);

    /**
     * Creates a node that has not started, with the product's own interfaces.
     *
     * @param settings its settings
     */
    public NodeDaemon(NodeSettings settings) {
        this(settings, wiring -> new DefaultIntegration(settings, wiring));
    }

    /**
     * Creates a node that has not started.
     *
     * @param settings its settings
     * @param factory makes what it is connected to
     */
    public NodeDaemon(NodeSettings settings, Integration.Factory factory) {
        this.settings = settings;
        this.mailbox = new Mailbox<>(settings.mailboxCapacity());
        this.group = new NioEventLoopGroup(
                settings.trafficThreads(),
                new DefaultThreadFactory("traffic", true),
                SelectorProvider.provider(),
                () -> new CoalescingSelectStrategy(settings.coalescingDelay(), System::nanoTime));
        this.integration = factory.create(new Integration.Dependencies(group, clock, metrics));
        this.self = self(settings, clock.instant());
        TlsContexts tls = TlsContexts.of(settings.tls());
        PeerSettings peerSettings = new PeerSettings(
                self.owner(),
                new FleetSecrets(settings.secrets()),
                settings.maxFrameBytes(),
                tls.peerServer(),
                tls.peerClient());
        this.peerLinks = new PeerLinks(peerSettings, group, clock);
        GuardedCalls guarded = new GuardedCalls(mailbox, metrics::countRejectedPeer);
        this.peerServer = new PeerServer(peerSettings, guarded);
        this.targetConnections = new TargetConnections(integration.dialect(), group.next(), clock);
        this.platformGateway = new PlatformGateway(integration.platform(), integration.policySource(), mailbox::put);
        this.entryCalls = new EntryCalls(mailbox, peerLinks, integration.dialect(), metrics::countEntryRefusal);
        this.callerServer = new CallerServer(EntryPoint.CALLER, settings.entry(), entryCalls, tls.callers());
        this.targetCallServer = settings.targetCallAddress()
                .map(any -> new CallerServer(EntryPoint.TARGET, settings.entry(), entryCalls, Optional.empty()));
        DecisionLog decisions = new DecisionLog(MAX_DECISIONS);
        this.patchHandler = new PatchHandler(mailbox::put);
        this.reportHandler = new ReportHandler(mailbox);
        NodeEffectRunner interpreter = new NodeEffectRunner(
                self.owner(),
                mailbox,
                new NodeEffectRunner.Components(
                        peerLinks,
                        peerServer,
                        guarded,
                        targetConnections,
                        entryCalls,
                        platformGateway,
                        metrics,
                        decisions,
                        patchHandler,
                        reportHandler,
                        this::closeCallers,
                        this::terminate));
        NodeState start = NodeState.start(settings.rules(), self, initialTarget(settings.target()), clock.instant());
        this.controlLoop = new ControlLoop(start, mailbox, clock, interpreter);
        this.operatorServer = new PageServer(new OperatorHandler(
                controlLoop::state, clock, metrics, decisions, patchHandler, this::drain, settings.operatorToken()));
        addGauges();
    }

    private static Member self(NodeSettings settings, Instant now) {
        TargetSettings target = settings.target();
        return new Member(
                new NodeId(settings.peerAddress().getHostString() + ":"
                        + settings.peerAddress().getPort()),
                now.toEpochMilli(),
                0,
                MemberStatus.ALIVE,
                settings.zone(),
                target.reports() ? "" : target.service(),
                target.reports() ? 0 : target.slots());
    }

    /** A target that does not report is there from the start. */
    private static Optional<TargetRef> initialTarget(TargetSettings target) {
        String address =
                target.address().getHostString() + ":" + target.address().getPort();
        return target.reports() ? Optional.empty() : Optional.of(new TargetRef("", address));
    }

    private void addGauges() {
        metrics.addGauge("control.mailbox", mailbox::size);
        metrics.addGauge("peers.connections", peerLinks::size);
        metrics.addGauge(
                "calls.entered",
                () -> controlLoop.state().entryCalls().byNumber().size());
        metrics.addGauge(
                "calls.running", () -> controlLoop.state().admission().running().size());
        metrics.addGauge(
                "calls.queued", () -> controlLoop.state().admission().queue().size());
        metrics.addGauge(
                "policy.version", () -> controlLoop.state().policy().policy().version());
    }

    /** Starts to listen, announces the node, and begins to work. */
    public void start() {
        peerServer.listen(group, settings.peerAddress());
        operatorServer.listen(group, settings.operatorAddress());
        if (settings.controlOnTrafficThreads()) {
            controlLoop.share(group);
        } else {
            Thread control = new Thread(controlLoop, "control");
            control.setDaemon(true);
            control.start();
        }
        announce();
        targetCallServer.ifPresent(
                server -> server.listen(group, settings.targetCallAddress().orElseThrow()));
        callerServer.listen(group, settings.callerAddress());
        LOGGER.info(
                "Node {} of service {} in zone {} takes calls at {}",
                self.id(),
                settings.target().service(),
                self.zone(),
                settings.callerAddress());
        integration.started(this);
    }

    private void announce() {
        platformGateway.announce(self).whenComplete((done, failure) -> {
            platformGateway.listMembers(self.id());
            if (failure != null || !done) {
                LOGGER.warn("The node could not be announced on the platform; trying again");
                group.schedule(this::announce, ANNOUNCE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Begins a planned stop: no new work, everything in flight is finished, then the node leaves. */
    public void drain() {
        LOGGER.info("Node {} was asked to stop", self.id());
        draining = true;
        entryCalls.closeAfterAnswers();
        mailbox.put(new ControlEvent.DrainRequested());
    }

    /**
     * Takes settings that were read again; most hold until the process starts anew, and changes of those are said.
     *
     * @param next the settings
     */
    public void reload(NodeSettings next) {
        mailbox.put(new ControlEvent.SettingsChanged(
                next.target().service(), next.rules().keyTrust().maxConfirmationAge()));
        boolean moved = !next.callerAddress().equals(settings.callerAddress())
                || !next.peerAddress().equals(settings.peerAddress())
                || !next.target().address().equals(settings.target().address())
                || !next.platformUrl().equals(settings.platformUrl());
        if (moved) {
            LOGGER.warn("Addresses changed in the settings; they hold from the next start on");
        }
    }

    private void closeCallers() {
        callerServer.closeConnections();
        targetCallServer.ifPresent(CallerServer::closeConnections);
    }

    private void terminate() {
        if (terminating.compareAndSet(false, true)) {
            callerServer.stopListening();
            // The last probes carry the word that this node has left.
            group.schedule(terminated::countDown, TERMINATION_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Waits until a planned stop is finished.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    /** Ends the node at once, finished or not. */
    public void stop() {
        terminating.set(true);
        controlLoop.stop();
        callerServer.close();
        targetCallServer.ifPresent(CallerServer::close);
        operatorServer.close();
        peerServer.close();
        peerLinks.close();
        targetConnections.close();
        integration.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        terminated.countDown();
    }

    /**
     * Takes a report of the target.
     *
     * @param report what the target says of itself
     * @return how it was taken, once it is in force
     */
    public CompletableFuture<ReportVerdict> reportTarget(TargetReport report) {
        return reportHandler.submit(ticket -> new ControlEvent.TargetReported(report, ticket));
    }

    /**
     * Takes the word that a process life of the target leaves for good.
     *
     * @param instance identifier of the process life
     * @return how it was taken, once it is in force
     */
    public CompletableFuture<ReportVerdict> reportTargetLeft(String instance) {
        return reportHandler.submit(ticket -> new ControlEvent.TargetLeft(instance, ticket));
    }

    /**
     * Tells whether callers are welcome: a policy is known and the node is not leaving.
     *
     * @return true if it is ready
     */
    public boolean ready() {
        return !draining && controlLoop.state().policy().policy().version() > 0;
    }

    /**
     * The latest state, for tests and measurements.
     *
     * @return an immutable state
     */
    public NodeState state() {
        return controlLoop.state();
    }

    /**
     * Sends a patch, as an operator would.
     *
     * @param patch the patch
     * @return completes with the answer
     */
    public CompletableFuture<AnswerPatch> submitPatch(PolicyPatch patch) {
        return patchHandler.submit(patch);
    }

    /**
     * What the node counts.
     *
     * @return the metrics
     */
    public NodeMetrics metrics() {
        return metrics;
    }
}
