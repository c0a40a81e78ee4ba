package org.heatherhaven.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on loopback.
 *
 * <p>The ports lie below the operating system's ephemeral range, so that no outgoing connection uses one before it
 * is bound. The search starts at an offset derived from the process id, so that concurrent processes rarely collide.
 */
public final class Ports {

    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;
    private static final int PID_STRIDE = 211;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % PORT_COUNT));

    private Ports() {}

    /**
     * Finds loopback addresses on which no process listens.
     *
     * @param count number of addresses
     * @return different addresses, unbound at the time of the call
     */
    public static List<InetSocketAddress> findFree(int count) {
        List<InetSocketAddress> found = new ArrayList<>();
        while (found.size() < count) {
            int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
            if (isFree(port)) {
                found.add(new InetSocketAddress("127.0.0.1", port));
            }
        }
        return found;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
