package org.heatherhaven.node.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.node.entry.EntrySettings;
import org.heatherhaven.node.target.TargetSettings;

/**
 * Settings of a node.
 *
 * @param zone availability zone of the node
 * @param callerAddress listen address for callers
 * @param targetCallAddress listen address for calls of the node's own target, on loopback
 * @param peerAddress listen address for other nodes; also the identity of this node
 * @param operatorAddress listen address for operators
 * @param operatorToken token that operators must present, if any
 * @param target the target beside this node
 * @param platformUrl base URL of the platform
 * @param platformTimeout limit for connecting to the platform and for its responses
 * @param secrets secrets of the fleet; the first one signs, all are accepted
 * @param entry limits of what a caller may send
 * @param maxFrameBytes maximum size of a frame accepted from a peer, bytes
 * @param mailboxCapacity maximum number of events queued for the control thread
 * @param trafficThreads number of traffic threads
 * @param controlOnTrafficThreads true to run control on the traffic threads, for machines that run one thread at a time
 * @param coalescingDelay how long a busy traffic thread waits before each poll, so that one poll finds several events;
 *     zero to disable
 * @param tls TLS files, if configured
 * @param rules settings of the decision logic
 */
public record NodeSettings(
        Zone zone,
        InetSocketAddress callerAddress,
        Optional<InetSocketAddress> targetCallAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress operatorAddress,
        Optional<String> operatorToken,
        TargetSettings target,
        String platformUrl,
        Duration platformTimeout,
        List<String> secrets,
        EntrySettings entry,
        int maxFrameBytes,
        int mailboxCapacity,
        int trafficThreads,
        boolean controlOnTrafficThreads,
        Duration coalescingDelay,
        Optional<TlsFiles> tls,
        NodeRules rules) {

    /**
     * Copies these settings with other entry limits and rules.
     *
     * @param nextEntry limits of what a caller may send
     * @param nextRules settings of the decision logic
     * @return the changed copy
     */
    public NodeSettings withEntryAndRules(EntrySettings nextEntry, NodeRules nextRules) {
        return new NodeSettings(
                zone,
                callerAddress,
                targetCallAddress,
                peerAddress,
                operatorAddress,
                operatorToken,
                target,
                platformUrl,
                platformTimeout,
                secrets,
                nextEntry,
                maxFrameBytes,
                mailboxCapacity,
                trafficThreads,
                controlOnTrafficThreads,
                coalescingDelay,
                tls,
                nextRules);
    }

    /**
     * TLS files in PEM format.
     *
     * @param certificate certificate chain of this node
     * @param key private key of this node, PKCS #8
     * @param authority certificate of the authority that signs the fleet's certificates
     */
    public record TlsFiles(Path certificate, Path key, Path authority) {}
}
