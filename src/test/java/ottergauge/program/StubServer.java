// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

/** Stands in for a server or for discovery, and handles requests as the test defines. */
final class StubServer implements AutoCloseable {

    /** Handles a request; the connection stays open if it returns true. */
    interface Behaviour {
        boolean reply(HttpMessage request, Socket connection)
                throws IOException, InterruptedException;
    }

    final BlockingQueue<HttpMessage> requests = new LinkedBlockingQueue<>();

    /** Has an entry for each connection that has ended. */
    final BlockingQueue<String> endedConnections = new LinkedBlockingQueue<>();

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

    /** A server whose behaviour the request's query selects: ok, error, busy, break, silence. */
    static StubServer queryControlled() throws IOException {
        return queryControlled(new CountDownLatch(0));
    }

    /** The same; it responds to "late" once the latch is down. */
    static StubServer queryControlled(CountDownLatch late) throws IOException {
        return new StubServer(
                (request, connection) -> {
                    String action = request.target().replaceAll(".*do=", "");
                    if ("late".equals(action)) {
                        late.await();
                    }
                    switch (action) {
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
                open = behaviour.reply(request, connection);
            }
        } catch (IOException | InterruptedException e) {
            // The peer reset the connection, or the test is over.
        }
        endedConnections.add("ended");
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
