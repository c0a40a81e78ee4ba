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

/** Accepts connections of peers. */
public final class PeerServer {

    private final PeerSettings settings;
    private final PeerServerListener peerListener;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicLong nextLink = new AtomicLong(1);
    private Channel serverChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings what connections need
     * @param door takes what peers send
     */
    public PeerServer(PeerSettings settings, PeerServerListener door) {
        this.settings = settings;
        this.peerListener = door;
    }

    /**
     * Starts to listen.
     *
     * @param group threads of the connections
     * @param address where to listen
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
     * Closes every connection that peers opened.
     *
     * @return number of the first connection accepted after that
     */
    public long closeAccepted() {
        long floor = nextLink.get();
        accepted.close();
        return floor;
    }

    /** Stops listening and closes all connections. */
    public void close() {
        serverChannel.close();
        accepted.close();
    }
}
