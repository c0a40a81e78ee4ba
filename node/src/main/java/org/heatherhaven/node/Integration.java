package org.heatherhaven.node;

import java.time.InstantSource;

import io.netty.channel.EventLoopGroup;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.platform.Platform;
import org.heatherhaven.node.platform.PolicySource;

/**
 * A node's connection to its environment: the HTTP dialect of callers and targets, and the platform that stores state.
 */
public interface Integration extends AutoCloseable {

    /**
     * Parts of the node that an integration uses.
     *
     * @param group event loops of the node's connections
     * @param clock source of the current time
     * @param metrics metrics of the node
     */
    record Dependencies(EventLoopGroup group, InstantSource clock, NodeMetrics metrics) {}

    /** Creates the integration of a node. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates the integration.
         *
         * @param dependencies parts of the node that it uses
         * @return the integration
         */
        Integration create(Dependencies dependencies);
    }

    /**
     * Returns the HTTP dialect of callers and targets.
     *
     * @return the dialect
     */
    CallDialect dialect();

    /**
     * Returns the client of the platform's objects.
     *
     * @return the client
     */
    Platform platform();

    /**
     * Returns the source of policy versions.
     *
     * @return the source
     */
    PolicySource policySource();

    /**
     * Called when the node listens. The integration may start its own listeners.
     *
     * @param node the node
     */
    default void started(NodeDaemon node) {}

    /** Closes the integration's connections and listeners. */
    @Override
    void close();
}
