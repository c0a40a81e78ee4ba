package org.heatherhaven.node;

import java.time.InstantSource;

import io.netty.channel.EventLoopGroup;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.platform.Platform;
import org.heatherhaven.node.platform.PolicySource;

/** What a node is connected to: how callers and targets are spoken to, and where state is kept. */
public interface Integration extends AutoCloseable {

    /**
     * Parts of a node that an integration works with.
     *
     * @param group threads of connections
     * @param clock the clock
     * @param metrics what the node counts
     */
    record Dependencies(EventLoopGroup group, InstantSource clock, NodeMetrics metrics) {}

    /** Makes the integration of one node. */
    @FunctionalInterface
    interface Factory {

        /**
         * Makes the integration.
         *
         * @param wiring parts of the node
         * @return the integration
         */
        Integration create(Dependencies wiring);
    }

    /**
     * How callers and targets are spoken to.
     *
     * @return the dialect
     */
    CallDialect dialect();

    /**
     * The platform's objects.
     *
     * @return a client
     */
    Platform platform();

    /**
     * Where the policy is read.
     *
     * @return a client
     */
    PolicySource policySource();

    /**
     * The node listens; listeners of the integration's own may start.
     *
     * @param node the node
     */
    default void started(NodeDaemon node) {}

    @Override
    void close();
}
