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
import org.heatherhaven.standin.target.TargetFaults;
import org.heatherhaven.standin.target.TargetServer;

/** Runs a whole deployment in this process: a stand-in platform, stand-in targets, and a real node beside each. */
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

    /** A target and the node beside it; the ports are for callers, nested calls, peers, operators and the target. */
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
     * Starts a fleet and waits until every node lists all members as accepting calls.
     *
     * @param deployment services, zones and flows of the fleet
     * @param rules decision rules of all nodes
     * @param seed seed of all random choices
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
                        .allMatch(targetWithNode -> targetWithNode.node.state().fleet().members().values().stream()
                                        .filter(member -> member.status().acceptsCalls())
                                        .count()
                                == targetsWithNodes.size()));
    }

    private void start(TargetWithNode targetWithNode) {
        int index = targetsWithNodes.indexOf(targetWithNode);
        targetWithNode.target = new TargetServer(
                new TargetBehavior(
                        targetWithNode.service.name(),
                        targetWithNode.service.slots(),
                        targetWithNode.service.meanWorkTime(),
                        targetWithNode.service.nestedCalls()),
                "http://127.0.0.1:" + targetWithNode.ports.get(1).getPort(),
                group,
                seed + index);
        targetWithNode.target.listen(targetWithNode.ports.get(4));
        targetWithNode.node = new NodeDaemon(settings(targetWithNode));
        targetWithNode.node.start();
    }

    private NodeSettings settings(TargetWithNode targetWithNode) {
        return new NodeSettings(
                new Zone(deployment.region(), "zone-" + targetWithNode.zone),
                targetWithNode.ports.get(0),
                Optional.of(targetWithNode.ports.get(1)),
                targetWithNode.ports.get(2),
                targetWithNode.ports.get(3),
                Optional.empty(),
                new TargetSettings(
                        targetWithNode.service.name(),
                        targetWithNode.ports.get(4),
                        targetWithNode.service.slots(),
                        targetWithNode.service.connections(),
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
                throw new IllegalStateException("the fleet was not ready in time: " + what);
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
     * Submits a policy patch and waits until every node has its version.
     *
     * @param patch patch that must be accepted
     * @throws TimeoutException if the node doesn't answer the patch within 20 s
     */
    public void applyPatch(PolicyPatch patch) throws TimeoutException {
        try {
            AnswerPatch answer = targetsWithNodes
                    .get(0)
                    .node
                    .submitPatch(patch)
                    .get(READY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (answer.verdict() != PatchVerdict.ACCEPTED) {
                throw new IllegalStateException("the patch was not accepted: " + answer);
            }
            await(
                    "policy",
                    () -> targetsWithNodes.stream()
                            .allMatch(targetWithNode -> targetWithNode
                                            .node
                                            .state()
                                            .policy()
                                            .policy()
                                            .version()
                                    >= answer.version()));
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns the number of nodes, killed ones included.
     *
     * @return number of nodes
     */
    public int size() {
        return targetsWithNodes.size();
    }

    /**
     * Returns the base URL at which a node accepts callers.
     *
     * @param index index of the node, from 0
     * @return a URL without a path
     */
    public String callerUrl(int index) {
        return "http://127.0.0.1:" + targetsWithNodes.get(index).ports.get(0).getPort();
    }

    /**
     * Returns the base URL of a node's target, for calls that bypass the node.
     *
     * @param index index of the node, from 0
     * @return a URL without a path
     */
    public String targetUrl(int index) {
        return "http://127.0.0.1:" + targetsWithNodes.get(index).ports.get(4).getPort();
    }

    /**
     * Returns a node.
     *
     * @param index index of the node, from 0
     * @return the node
     */
    public NodeDaemon node(int index) {
        return targetsWithNodes.get(index).node;
    }

    /**
     * Returns the index of the first node of a service.
     *
     * @param service name of the service
     * @return index of the node
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
     * Sets the factor that the work time of all targets of a service is multiplied by.
     *
     * @param service name of the service
     * @param factor 1 for the configured work time, 10 for ten times as long
     */
    public void setSlowness(String service, double factor) {
        targetsWithNodes.stream()
                .filter(targetWithNode -> targetWithNode.service.name().equals(service))
                .forEach(targetWithNode -> targetWithNode.target.setSlowness(factor));
    }

    /**
     * Makes a target refuse all requests with status 503, or accept them again.
     *
     * @param index index of its node
     * @param refuse true to refuse
     */
    public void setRefusing(int index, boolean refuse) {
        targetsWithNodes.get(index).target.setRefusing(refuse);
    }

    /**
     * Sets the simulated faults in the answers of all targets.
     *
     * @param faults faults of later answers
     */
    public void setTargetFaults(TargetFaults faults) {
        targetsWithNodes.forEach(targetWithNode -> targetWithNode.target.setFaults(faults));
    }

    /**
     * Sets the simulated faults of the platform.
     *
     * @param faults faults of later requests
     */
    public void setPlatformFaults(PlatformFaults faults) {
        platform.setFaults(faults);
    }

    /**
     * Stops a node and its target at once, without a drain.
     *
     * @param index index of the node, from 0
     */
    public void kill(int index) {
        targetsWithNodes.get(index).node.stop();
        targetsWithNodes.get(index).target.close();
    }

    /**
     * Starts a new target and node at the addresses of stopped ones.
     *
     * @param index index of the node, from 0
     */
    public void restart(int index) {
        start(targetsWithNodes.get(index));
    }

    /**
     * Drains a node, waits until it has left the fleet, and stops it and its target.
     *
     * @param index index of the node, from 0
     */
    public void drain(int index) {
        targetsWithNodes.get(index).node.drain();
        try {
            targetsWithNodes.get(index).node.awaitTermination();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        kill(index);
    }

    /**
     * Returns the nodes in a zone.
     *
     * @param zone index of the zone
     * @return indexes of the nodes
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
     * Returns the number of idempotency keys that ran more than once, over all targets.
     *
     * @return number of keys
     */
    public long keysRunTwice() {
        return targetsWithNodes.stream()
                .flatMap(targetWithNode -> targetWithNode.target.runsByKey().entrySet().stream())
                .collect(Collectors.groupingBy(
                        Map.Entry::getKey,
                        Collectors.summingLong(entry -> entry.getValue().get())))
                .values()
                .stream()
                .filter(count -> count > 1)
                .count();
    }

    /**
     * Returns the number of requests at any target that carried the API key of a caller.
     *
     * @return number of requests; 0 unless a node forwards keys
     */
    public long requestsWithCallerKey() {
        return targetsWithNodes.stream()
                .mapToLong(targetWithNode -> targetWithNode.target.requestsWithCallerKey())
                .sum();
    }

    /**
     * Returns the number of nested calls of all targets that succeeded with the answer to another call, or with a part of
     * one.
     *
     * @return number of nested calls; 0 unless nodes mix up answers
     */
    public long wrongNestedAnswers() {
        return targetsWithNodes.stream()
                .mapToLong(targetWithNode -> targetWithNode.target.wrongNestedAnswers())
                .sum();
    }

    @Override
    public void close() {
        for (TargetWithNode targetWithNode : targetsWithNodes) {
            targetWithNode.node.stop();
            targetWithNode.target.close();
        }
        platform.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
