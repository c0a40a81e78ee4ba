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
 * @param zone availability zone it runs in
 * @param callerAddress where callers connect
 * @param targetCallAddress where its own target connects, on loopback
 * @param peerAddress where other nodes connect; also the node's identity
 * @param operatorAddress where operators connect
 * @param operatorToken what operators must present
 * @param target the target that it guards
 * @param platformUrl address of the platform
 * @param platformTimeout how long the platform's answer is waited for
 * @param secrets the fleet's secrets, the first of which signs
 * @param entry bounds of what a caller may send
 * @param maxFrameBytes largest frame accepted from a peer, bytes
 * @param mailboxCapacity events that may wait for the control thread
 * @param trafficThreads traffic threads
 * @param controlOnTrafficThreads true if control runs on the traffic threads, for machines that run one thread at a time
 * @param coalescingDelay how long a busy traffic thread rests before it looks for what has arrived; zero for not at all
 * @param tls files of TLS, if configured
 * @param rules settings of the decisions
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
     * Copies these settings with other bounds and rules.
     *
     * @param nextEntry bounds of what a caller may send
     * @param nextRules settings of the decisions
     * @return the changed settings
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
     * Files of TLS, in PEM.
     *
     * @param certificate certificate chain of this node
     * @param key private key of this node, PKCS 8
     * @param authority certificate that signs the fleet's certificates
     */
    public record TlsFiles(Path certificate, Path key, Path authority) {}
}
