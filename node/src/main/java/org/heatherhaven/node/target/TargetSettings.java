package org.heatherhaven.node.target;

import java.net.InetSocketAddress;

/**
 * Settings of the target beside this node.
 *
 * @param service name of the service that the target belongs to
 * @param address address that the target listens on
 * @param slots number of calls that the target processes at a time; ignored if it sends reports, which state it
 * @param maxConnections largest number of connections that the target accepts
 * @param sendsReports true if the target sends reports to this node; it then gets calls only after the first report
 */
public record TargetSettings(
        String service, InetSocketAddress address, int slots, int maxConnections, boolean sendsReports) {}
