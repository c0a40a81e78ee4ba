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
import org.heatherhaven.node.target.OfferedCalls;
import org.heatherhaven.node.target.TargetConnections;
import org.heatherhaven.node.target.TargetSettings;
import org.heatherhaven.node.wire.FleetSecrets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A node: its listeners, connections and control thread, and their start, planned stop and end. */
public final class NodeDaemon {

    private static final Logger LOGGER = LoggerFactory.getLogger(NodeDaemon.class);
    private static final int MAX_DECISIONS = 4_096;
    /** Time between the decision to terminate and the end, for the last probes to be sent. */
    private static final Duration TERMINATION_DELAY = Duration.ofMillis(300);

    /** Time between two checks whether all answers are written. */
    private static final Duration WRITE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time after the drain limit until which answers are written, the longest that a stop with open calls takes. */
    private static final Duration WRITE_LIMIT = Duration.ofMillis(600);

    private final NodeSettings settings;
    private final SteadyClock clock = new SteadyClock();
    private final NodeMetrics metrics = new NodeMetrics();
    private final Mailbox<Event> mailbox;
    private final EventLoopGroup group;
    private final Member self;
    private final PeerLinks peerLinks;
    private final PeerServer peerServer;
    private final OfferedCalls offers;
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
    private volatile Instant drainStartedAt = Instant.MAX;
    private final AtomicBoolean terminating = new AtomicBoolean();
    private final CountDownLatch terminated = new CountDownLatch(1);

    /**
     * Creates a node that is not started, with the default integration.
     *
     * @param settings settings of the node
     */
    public NodeDaemon(NodeSettings settings) {
        this(settings, dependencies -> new DefaultIntegration(settings, dependencies));
    }

    /**
     * Creates a node that is not started.
     *
     * @param settings settings of the node
     * @param factory creates its integration
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
        TlsContexts tls = TlsContexts.load(settings.tls());
        PeerSettings peerSettings = new PeerSettings(
                self.owner(),
                new FleetSecrets(settings.secrets()),
                settings.maxFrameBytes(),
                tls.peerServer(),
                tls.peerClient());
        this.peerLinks = new PeerLinks(peerSettings, group, clock);
        this.offers = new OfferedCalls(mailbox, metrics::countRejectedConnection);
        this.peerServer = new PeerServer(peerSettings, offers);
        this.targetConnections = new TargetConnections(integration.dialect(), group.next(), clock, mailbox::put);
        this.platformGateway = new PlatformGateway(integration.platform(), integration.policySource(), mailbox::put);
        this.entryCalls = new EntryCalls(mailbox, peerLinks, integration.dialect(), metrics::countEntryRefusal);
        this.callerServer = new CallerServer(EntryPoint.CALLER, settings.entry(), entryCalls, tls.callerServer());
        this.targetCallServer = settings.targetCallAddress()
                .map(any -> new CallerServer(EntryPoint.TARGET, settings.entry(), entryCalls, Optional.empty()));
        DecisionLog decisions = new DecisionLog(MAX_DECISIONS);
        this.patchHandler = new PatchHandler(mailbox::put);
        this.reportHandler = new ReportHandler(mailbox);
        NodeEffectRunner effectRunner = new NodeEffectRunner(
                self.owner(),
                mailbox,
                new NodeEffectRunner.Components(
                        peerLinks,
                        peerServer,
                        offers,
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
        this.controlLoop = new ControlLoop(start, mailbox, clock, effectRunner);
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
                target.sendsReports() ? "" : target.service(),
                target.sendsReports() ? 0 : target.slots());
    }

    /** Returns the configured target if it is available from the start because it sends no reports. */
    private static Optional<TargetRef> initialTarget(TargetSettings target) {
        String address =
                target.address().getHostString() + ":" + target.address().getPort();
        return target.sendsReports() ? Optional.empty() : Optional.of(new TargetRef("", address));
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

    /** Starts the listeners and the control loop, whose first step announces the node on the platform. */
    public void start() {
        peerServer.listen(group, settings.peerAddress());
        operatorServer.listen(group, settings.operatorAddress());
        if (settings.controlOnTrafficThreads()) {
            controlLoop.runOnSenderThreads(group);
        } else {
            Thread control = new Thread(controlLoop, "control");
            control.setDaemon(true);
            control.start();
        }
        targetCallServer.ifPresent(
                server -> server.listen(group, settings.targetCallAddress().orElseThrow()));
        callerServer.listen(group, settings.callerAddress());
        LOGGER.info(
                "Node {} of service {} in zone {} accepts calls at {}",
                self.id(),
                settings.target().service(),
                self.zone(),
                settings.callerAddress());
        integration.started(this);
    }

    /** Starts a planned stop: the node accepts no new work, finishes all calls in flight, then leaves the fleet. */
    public void drain() {
        LOGGER.info("Node {} starts a planned stop", self.id());
        draining = true;
        drainStartedAt = clock.instant();
        entryCalls.closeConnectionsAfterAnswers();
        mailbox.put(new ControlEvent.DrainRequested());
    }

    /**
     * Applies reloaded settings. Only the home service and the limit on the age of the policy's confirmation take
     * effect; changed addresses need a restart and are logged.
     *
     * @param next the reloaded settings
     */
    public void reload(NodeSettings next) {
        mailbox.put(new ControlEvent.SettingsChanged(
                next.target().service(), next.rules().keyTrust().maxConfirmationAge()));
        boolean addressChanged = !next.callerAddress().equals(settings.callerAddress())
                || !next.peerAddress().equals(settings.peerAddress())
                || !next.target().address().equals(settings.target().address())
                || !next.platformUrl().equals(settings.platformUrl());
        if (addressChanged) {
            LOGGER.warn("Addresses changed in the settings; they take effect after a restart");
        }
    }

    private void closeCallers() {
        callerServer.closeConnections();
        targetCallServer.ifPresent(CallerServer::closeConnections);
    }

    private void terminate() {
        if (terminating.compareAndSet(false, true)) {
            callerServer.stopListening();
            // The last probes, which spread that this node has left, need time to be sent.
            group.schedule(this::endOnceWritten, TERMINATION_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends the process once all answers are written. A call has ended for the control thread when its answer is handed to
     * a connection, whose receiver may read slowly. The time limit of the planned stop holds all the same.
     */
    private void endOnceWritten() {
        boolean unwritten = callerServer.hasUnwrittenAnswers()
                || targetCallServer.filter(CallerServer::hasUnwrittenAnswers).isPresent()
                || offers.hasOpenCalls()
                || peerServer.hasUnwrittenFrames();
        Instant limit = drainStartedAt.plus(settings.rules().drain().limit()).plus(WRITE_LIMIT);
        if (unwritten && clock.instant().isBefore(limit)) {
            group.schedule(this::endOnceWritten, WRITE_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        if (unwritten) {
            LOGGER.warn("Node {} ends with answers that are not written: the drain limit has passed", self.id());
        }
        terminated.countDown();
    }

    /**
     * Waits until a planned stop is finished.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    /** Ends the node at once, without finishing the calls in flight. */
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
     * Submits a report of the target.
     *
     * @param report status that the target reports of itself
     * @return completes with the verdict on the report, once the report is in force
     */
    public CompletableFuture<ReportVerdict> reportTarget(TargetReport report) {
        return reportHandler.submit(ticket -> new ControlEvent.TargetReported(report, ticket));
    }

    /**
     * Submits the report that a process of the target leaves for good.
     *
     * @param instance identifier of the process
     * @return completes with the verdict on the report, once the report is in force
     */
    public CompletableFuture<ReportVerdict> reportTargetLeft(String instance) {
        return reportHandler.submit(ticket -> new ControlEvent.TargetLeft(instance, ticket));
    }

    /**
     * Returns whether the node is ready for callers: a policy is in force and the node is not draining.
     *
     * @return true if the node is ready
     */
    public boolean ready() {
        return !draining && controlLoop.state().policy().policy().version() > 0;
    }

    /**
     * Returns the latest state, for tests and measurements.
     *
     * @return an immutable state
     */
    public NodeState state() {
        return controlLoop.state();
    }

    /**
     * Submits a policy patch like an operator does.
     *
     * @param patch the patch
     * @return completes with the result
     */
    public CompletableFuture<AnswerPatch> submitPatch(PolicyPatch patch) {
        return patchHandler.submit(patch);
    }

    /**
     * Returns the node's metrics.
     *
     * @return the metrics
     */
    public NodeMetrics metrics() {
        return metrics;
    }
}
