package org.heatherhaven.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.group.ChannelGroup;

/** Tells whether connections hold bytes that are written to them and not yet handed to the operating system. */
public final class PendingWrites {

    private PendingWrites() {}

    /**
     * Returns whether any of the connections holds unwritten bytes, because its receiver reads slowly.
     *
     * @param connections the connections
     * @return true if closing them now would lose bytes
     */
    public static boolean anyOf(ChannelGroup connections) {
        return connections.stream().anyMatch(PendingWrites::pending);
    }

    private static boolean pending(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() > 0;
    }
}
