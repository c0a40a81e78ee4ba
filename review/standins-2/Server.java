import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;

/** HTTP server on loopback with a thread for each connection. */
final class Server {

    /** Handles one request. */
    interface Handler {
        Reply handle(Http.Message request) throws Exception;
    }

    /** An answer. */
    record Reply(int status, Map<String, String> headers, byte[] body) {}

    private final ServerSocket listener;
    private final Handler handler;

    Server(int port, Handler handler) throws IOException {
        this.listener = new ServerSocket(port, 1024, InetAddress.getLoopbackAddress());
        this.handler = handler;
        Kit.daemon("server " + port, this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Kit.daemon("connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in);
                Reply reply = handler.handle(request);
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + reply.status() + " x",
                        reply.headers(),
                        reply.body());
                if (request.header("Connection").equalsIgnoreCase("close")) {
                    return;
                }
            }
        }
    }
}
