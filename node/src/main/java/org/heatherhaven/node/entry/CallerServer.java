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
import org.heatherhaven.node.PendingWrites;

/** HTTP server for callers, or for calls of the node's own target. */
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
     * @param entryPoint kind of client that connects to the server
     * @param settings limits on requests and connections
     * @param calls receives the calls
     * @param tls TLS context, empty for plain text
     */
    public CallerServer(EntryPoint entryPoint, EntrySettings settings, EntryCalls calls, Optional<SslContext> tls) {
        this.entryPoint = entryPoint;
        this.settings = settings;
        this.calls = calls;
        this.tls = tls;
    }

    /**
     * Binds the address and accepts connections.
     *
     * @param group event loops of the connections
     * @param address address to listen on
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

    /** Stops accepting connections; open connections stay open. */
    public void stopListening() {
        listener.close();
    }

    /** Closes the open connections, as requests buffered in them may be out of date, but keeps listening. */
    public void closeConnections() {
        connections.close();
    }

    /**
     * Returns whether an answer, or a part of one, waits for its client to read.
     *
     * @return true if closing the connections now would cut an answer
     */
    public boolean hasUnwrittenAnswers() {
        return PendingWrites.anyOf(connections);
    }

    /** Stops listening and closes all connections, waiting up to a second for them. */
    public void close() {
        listener.close();
        connections.close().awaitUninterruptibly(1_000);
    }
}
