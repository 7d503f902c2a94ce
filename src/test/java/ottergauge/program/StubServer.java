// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Stands in for a server or for discovery: does with each connection's requests what the test says.
 */
final class StubServer implements AutoCloseable {

    /** What to do with a request; the connection goes on if it gives true. */
    interface Behaviour {
        boolean answer(HttpMessage request, Socket connection)
                throws IOException, InterruptedException;
    }

    final BlockingQueue<HttpMessage> requests = new LinkedBlockingQueue<>();

    /** Gets an entry each time that the node ends a connection. */
    final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

    private final ServerSocket listener;
    private final Behaviour behaviour;

    StubServer(Behaviour behaviour) throws IOException {
        this(0, behaviour);
    }

    StubServer(int port, Behaviour behaviour) throws IOException {
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        this.behaviour = behaviour;
        thread(this::accept);
    }

    /** A server that does what the request's query asks for: ok, error, busy, break, silence. */
    static StubServer obedient() throws IOException {
        return obedient(new CountDownLatch(0));
    }

    /** The same; "late" is answered once the latch is down. */
    static StubServer obedient(CountDownLatch late) throws IOException {
        return new StubServer(
                (request, connection) -> {
                    String wish = request.target().replaceAll(".*do=", "");
                    if ("late".equals(wish)) {
                        late.await();
                    }
                    switch (wish) {
                        case "error" ->
                                connection
                                        .getOutputStream()
                                        .write(HttpMessage.response(500, "", "no"));
                        case "busy" ->
                                connection
                                        .getOutputStream()
                                        .write(HttpMessage.response(503, "X-Never-Ran: 1\r\n", ""));
                        case "break" -> connection.close();
                        case "silence" -> {}
                        default ->
                                connection
                                        .getOutputStream()
                                        .write(
                                                HttpMessage.response(
                                                        200, "", "served " + request.body()));
                    }
                    return !connection.isClosed();
                });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                thread(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            boolean open = true;
            while (open) {
                HttpMessage request = HttpMessage.read(connection.getInputStream());
                if (request == null) {
                    break;
                }
                requests.add(request);
                open = behaviour.answer(request, connection);
            }
        } catch (IOException | InterruptedException e) {
            // The other side broke the connection, or the test is over.
        }
        ended.add("ended");
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "stub");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
