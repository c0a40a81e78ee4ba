package org.heatherhaven.node.target;

import java.net.InetSocketAddress;

/**
 * The target that this node guards.
 *
 * @param service service of the target
 * @param address where it listens
 * @param slots number of calls it works on at a time; for a target that reports, until it does
 * @param maxConnections largest number of connections it accepts
 * @param sendsReports true if the target reports to its node, and takes calls only once it did
 */
public record TargetSettings(
        String service, InetSocketAddress address, int slots, int maxConnections, boolean sendsReports) {}
