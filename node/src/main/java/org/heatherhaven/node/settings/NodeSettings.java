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
 * @param callers where callers connect
 * @param targetCalls where its own target connects, on loopback
 * @param peers where other nodes connect; also the node's identity
 * @param operators where operators connect
 * @param operatorToken what operators must present
 * @param target the target that it guards
 * @param platformUrl address of the platform
 * @param platformTimeout how long the platform's answer is waited for
 * @param secrets the fleet's secrets, the first of which signs
 * @param entry bounds of what a caller may send
 * @param maxFrameBytes largest frame accepted from a peer, bytes
 * @param mailboxCapacity events that may wait for the control thread
 * @param threads traffic threads
 * @param sharedThreads true if control runs on the traffic threads, for machines that run one thread at a time
 * @param coalescing how long a busy traffic thread rests before it looks for what has arrived; zero for not at all
 * @param tls files of TLS, if configured
 * @param rules settings of the decisions
 */
public record NodeSettings(
        Zone zone,
        InetSocketAddress callers,
        Optional<InetSocketAddress> targetCalls,
        InetSocketAddress peers,
        InetSocketAddress operators,
        Optional<String> operatorToken,
        TargetSettings target,
        String platformUrl,
        Duration platformTimeout,
        List<String> secrets,
        EntrySettings entry,
        int maxFrameBytes,
        int mailboxCapacity,
        int threads,
        boolean sharedThreads,
        Duration coalescing,
        Optional<TlsFiles> tls,
        NodeRules rules) {

    /**
     * Copies these settings with other bounds and rules.
     *
     * @param nextEntry bounds of what a caller may send
     * @param nextRules settings of the decisions
     * @return the changed settings
     */
    public NodeSettings with(EntrySettings nextEntry, NodeRules nextRules) {
        return new NodeSettings(
                zone,
                callers,
                targetCalls,
                peers,
                operators,
                operatorToken,
                target,
                platformUrl,
                platformTimeout,
                secrets,
                nextEntry,
                maxFrameBytes,
                mailboxCapacity,
                threads,
                sharedThreads,
                coalescing,
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
