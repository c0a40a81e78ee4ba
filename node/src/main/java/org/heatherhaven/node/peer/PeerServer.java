package org.heatherhaven.node.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.heatherhaven.node.PendingWrites;

/** Listens for connections of peers and numbers them in the order in which they are accepted. */
public final class PeerServer {

    private final PeerSettings settings;
    private final PeerServerListener peerListener;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicLong nextLink = new AtomicLong(1);
    private Channel serverChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings settings of the connections
     * @param peerListener receives what peers send
     */
    public PeerServer(PeerSettings settings, PeerServerListener peerListener) {
        this.settings = settings;
        this.peerListener = peerListener;
    }

    /**
     * Starts to listen and returns once the address is bound.
     *
     * @param group event loops of the connections
     * @param address address to bind
     */
    public void listen(EventLoopGroup group, InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        AcceptedLink link = new AcceptedLink(nextLink.getAndIncrement(), peerListener);
                        accepted.add(ch);
                        PeerPipeline.build(ch.pipeline(), settings, false, link, ctx -> link.markAuthenticated());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Closes all accepted connections; the server keeps listening.
     *
     * @return lowest number that a connection accepted from now on can have
     */
    public long closeAccepted() {
        long firstNewLink = nextLink.get();
        accepted.close();
        return firstNewLink;
    }

    /**
     * Returns whether an accepted connection holds frames that are not written yet.
     *
     * @return true if closing the connections now would lose frames
     */
    public boolean hasUnwrittenFrames() {
        return PendingWrites.anyOf(accepted);
    }

    /** Stops listening and closes all connections. */
    public void close() {
        serverChannel.close();
        accepted.close();
    }
}
