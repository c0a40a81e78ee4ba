package org.heatherhaven.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on loopback. */
public final class Ports {

    private Ports() {}

    /**
     * Finds addresses that nobody listens at.
     *
     * @param count how many
     * @return the addresses, all different
     */
    public static List<InetSocketAddress> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream()
                    .map(socket -> new InetSocketAddress("127.0.0.1", socket.getLocalPort()))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            sockets.forEach(Ports::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
