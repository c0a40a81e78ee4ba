package org.heatherhaven.standin.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.heatherhaven.core.effect.Effect.AnswerPatch;
import org.heatherhaven.core.effect.Effect.PatchVerdict;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.node.NodeDaemon;
import org.heatherhaven.node.entry.EntrySettings;
import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.target.TargetSettings;
import org.heatherhaven.standin.platform.PlatformFaults;
import org.heatherhaven.standin.platform.PlatformServer;
import org.heatherhaven.standin.target.TargetBehavior;
import org.heatherhaven.standin.target.TargetServer;

/** A whole deployment on loopback in this process: platform, targets, and a real node beside each target. */
public final class EmbeddedFleet implements AutoCloseable {

    private static final int PORTS_PER_NODE = 5;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int MAILBOX_CAPACITY = 20_000;
    private static final int STANDIN_THREADS = 3;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(800);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final Deployment deployment;
    private final NodeRules rules;
    private final long seed;
    private final EventLoopGroup group =
            new NioEventLoopGroup(STANDIN_THREADS, new DefaultThreadFactory("standin", true));
    private final PlatformServer platform;
    private final String platformUrl;
    private final List<TargetWithNode> targetsWithNodes = new ArrayList<>();

    /** A target with its node. */
    private static final class TargetWithNode {

        private final ServiceSpec service;
        private final int zone;
        private final List<InetSocketAddress> ports;
        private TargetServer target;
        private NodeDaemon node;

        private TargetWithNode(ServiceSpec service, int zone, List<InetSocketAddress> ports) {
            this.service = service;
            this.zone = zone;
            this.ports = ports;
        }
    }

    /**
     * Starts a fleet and waits until all its members know each other.
     *
     * @param deployment which one
     * @param rules settings of the nodes' decisions
     * @param seed start of all random choices
     */
    public EmbeddedFleet(Deployment deployment, NodeRules rules, long seed) {
        this.deployment = deployment;
        this.rules = rules;
        this.seed = seed;
        this.platform = new PlatformServer(group, seed);
        InetSocketAddress address = platform.listen(new InetSocketAddress("127.0.0.1", 0));
        this.platformUrl = "http://127.0.0.1:" + address.getPort();
        for (ServiceSpec service : deployment.services()) {
            for (int zone = 0; zone < service.targets(); zone++) {
                targetsWithNodes.add(
                        new TargetWithNode(service, zone % deployment.zones(), Ports.findFree(PORTS_PER_NODE)));
            }
        }
        targetsWithNodes.forEach(this::start);
        await(
                "members",
                () -> targetsWithNodes.stream()
                        .allMatch(unit -> unit.node.state().fleet().members().values().stream()
                                        .filter(member -> member.status().acceptsCalls())
                                        .count()
                                == targetsWithNodes.size()));
    }

    private void start(TargetWithNode unit) {
        int index = targetsWithNodes.indexOf(unit);
        unit.target = new TargetServer(
                new TargetBehavior(
                        unit.service.name(),
                        unit.service.slots(),
                        unit.service.meanWorkTime(),
                        unit.service.nestedCalls()),
                "http://127.0.0.1:" + unit.ports.get(1).getPort(),
                group,
                seed + index);
        unit.target.listen(unit.ports.get(4));
        unit.node = new NodeDaemon(settings(unit));
        unit.node.start();
    }

    private NodeSettings settings(TargetWithNode unit) {
        return new NodeSettings(
                new Zone(deployment.region(), "zone-" + unit.zone),
                unit.ports.get(0),
                Optional.of(unit.ports.get(1)),
                unit.ports.get(2),
                unit.ports.get(3),
                Optional.empty(),
                new TargetSettings(
                        unit.service.name(),
                        unit.ports.get(4),
                        unit.service.slots(),
                        unit.service.connections(),
                        false),
                platformUrl,
                PLATFORM_TIMEOUT,
                List.of("a-secret-for-measurements"),
                new EntrySettings(MAX_HEADER_BYTES, MAX_BODY_BYTES, MAX_CONNECTIONS),
                MAX_FRAME_BYTES,
                MAILBOX_CAPACITY,
                1,
                false,
                Duration.ZERO,
                Optional.empty(),
                rules);
    }

    private static void await(String what, BooleanSupplier done) {
        long end = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!done.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("the fleet did not get ready: " + what);
            }
            pause(POLL_INTERVAL);
        }
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Puts a patch in force, and waits until every node has it.
     *
     * @param patch the patch
     * @throws TimeoutException if no answer comes
     */
    public void applyPatch(PolicyPatch patch) throws TimeoutException {
        try {
            AnswerPatch answer =
                    targetsWithNodes.get(0).node.patch(patch).get(READY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (answer.verdict() != PatchVerdict.ACCEPTED) {
                throw new IllegalStateException("the patch was not accepted: " + answer);
            }
            await(
                    "policy",
                    () -> targetsWithNodes.stream()
                            .allMatch(
                                    unit -> unit.node.state().policy().policy().version() >= answer.version()));
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Number of nodes.
     *
     * @return nodes
     */
    public int size() {
        return targetsWithNodes.size();
    }

    /**
     * Where callers reach a node.
     *
     * @param index number of the node
     * @return a URL without a path
     */
    public String callerUrl(int index) {
        return "http://127.0.0.1:" + targetsWithNodes.get(index).ports.get(0).getPort();
    }

    /**
     * Where a node's target listens, for a direct call.
     *
     * @param index number of the node
     * @return a URL without a path
     */
    public String targetUrl(int index) {
        return "http://127.0.0.1:" + targetsWithNodes.get(index).ports.get(4).getPort();
    }

    /**
     * A node.
     *
     * @param index its number
     * @return the node
     */
    public NodeDaemon node(int index) {
        return targetsWithNodes.get(index).node;
    }

    /**
     * Number of the first node of a service.
     *
     * @param service the service
     * @return its number
     */
    public int firstNodeOf(String service) {
        for (int i = 0; i < targetsWithNodes.size(); i++) {
            if (targetsWithNodes.get(i).service.name().equals(service)) {
                return i;
            }
        }
        throw new IllegalArgumentException("no service " + service);
    }

    /**
     * Changes the pace of all targets of a service.
     *
     * @param service the service
     * @param factor 1 for the planned pace, 10 for a tenth of it
     */
    public void setSlowness(String service, double factor) {
        targetsWithNodes.stream()
                .filter(unit -> unit.service.name().equals(service))
                .forEach(unit -> unit.target.setSlowness(factor));
    }

    /**
     * Lets a target refuse whatever it gets.
     *
     * @param index number of its node
     * @param refuse true to refuse
     */
    public void setRefusing(int index, boolean refuse) {
        targetsWithNodes.get(index).target.setRefusing(refuse);
    }

    /**
     * Changes how the platform misbehaves.
     *
     * @param faults the faults from now on
     */
    public void platformFaults(PlatformFaults faults) {
        platform.setFaults(faults);
    }

    /**
     * Ends a target and its node at once.
     *
     * @param index number of the node
     */
    public void kill(int index) {
        targetsWithNodes.get(index).node.stop();
        targetsWithNodes.get(index).target.close();
    }

    /**
     * Starts a target and its node again at the same addresses.
     *
     * @param index number of the node
     */
    public void restart(int index) {
        start(targetsWithNodes.get(index));
    }

    /**
     * Stops a node gracefully, and its target after it.
     *
     * @param index number of the node
     */
    public void drain(int index) {
        targetsWithNodes.get(index).node.drain();
        try {
            targetsWithNodes.get(index).node.awaitLeft();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        kill(index);
    }

    /**
     * Numbers of the nodes in a zone.
     *
     * @param zone number of the zone
     * @return numbers of nodes
     */
    public List<Integer> nodesInZone(int zone) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < targetsWithNodes.size(); i++) {
            if (targetsWithNodes.get(i).zone == zone) {
                found.add(i);
            }
        }
        return found;
    }

    /**
     * Executions of each idempotency key beyond the first, over all targets.
     *
     * @return number of keys that ran more than once
     */
    public long keysRunTwice() {
        return targetsWithNodes.stream()
                .flatMap(unit -> unit.target.runsByKey().entrySet().stream())
                .collect(Collectors.groupingBy(
                        Map.Entry::getKey,
                        Collectors.summingLong(entry -> entry.getValue().get())))
                .values()
                .stream()
                .filter(count -> count > 1)
                .count();
    }

    /**
     * Requests at any target that carried a caller's key.
     *
     * @return requests
     */
    public long requestsWithCallerKey() {
        return targetsWithNodes.stream()
                .mapToLong(unit -> unit.target.requestsWithCallerKey())
                .sum();
    }

    @Override
    public void close() {
        for (TargetWithNode unit : targetsWithNodes) {
            unit.node.stop();
            unit.target.close();
        }
        platform.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
