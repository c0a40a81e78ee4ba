package org.heatherhaven.node.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;

/** Listens for callers, or for the node's own target. */
public final class CallerServer {

    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    private final EntryPoint entryPoint;
    private final EntrySettings settings;
    private final EntryCalls calls;
    private final Optional<SslContext> tls;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param door who connects to it
     * @param settings bounds of what may be sent
     * @param calls takes the calls
     * @param tls TLS, if configured
     */
    public CallerServer(EntryPoint door, EntrySettings settings, EntryCalls calls, Optional<SslContext> tls) {
        this.entryPoint = door;
        this.settings = settings;
        this.calls = calls;
        this.tls = tls;
    }

    /**
     * Starts to listen.
     *
     * @param group threads of the connections
     * @param address where to listen
     */
    public void listen(EventLoopGroup group, InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initialize(ch);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private void initialize(Channel channel) {
        if (connections.size() >= settings.maxConnections()) {
            channel.close();
            return;
        }
        connections.add(channel);
        tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
        channel.pipeline()
                .addLast(new HttpServerCodec(settings.maxHeaderBytes(), settings.maxHeaderBytes(), MAX_CHUNK_BYTES));
        channel.pipeline().addLast(new CallerConnection(entryPoint, settings, calls));
    }

    /** Stops accepting connections; those that are open go on. */
    public void stopListening() {
        listener.close();
    }

    /** Closes the connections that are open, and goes on listening: what lies in them may be old. */
    public void closeConnections() {
        connections.close();
    }

    /** Closes all connections. */
    public void close() {
        listener.close();
        connections.close().awaitUninterruptibly(1_000);
    }
}
