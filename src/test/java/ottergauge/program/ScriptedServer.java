// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static ottergauge.program.RawHttp.body;
import static ottergauge.program.RawHttp.checksum;
import static ottergauge.program.RawHttp.head;
import static ottergauge.program.RawHttp.text;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import ottergauge.protocol.TestConfig;

/**
 * A server whose handling of each request a test gives, and the node in front of it. It closes the
 * connection after a request with {@code do=close}, and resets it after one with {@code do=reset}.
 */
final class ScriptedServer {

    /** Handles a request whose head has been read; its body, if any, has not. */
    interface Behaviour {
        void reply(String head, InputStream in, OutputStream out)
                throws IOException, InterruptedException;
    }

    /** An address of discovery at which nothing listens. */
    static final String UNREACHABLE = "127.0.0.1:1";

    /** Responds with the checksum of the request body. */
    static final Behaviour ECHO =
            (head, in, out) -> {
                byte[] body = body(head, in);
                String bodyChecksum = checksum(body);
                out.write(
                        text(
                                "HTTP/1.1 200 OK\r\nContent-Length: "
                                        + bodyChecksum.length()
                                        + "\r\n\r\n"
                                        + bodyChecksum));
            };

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<String> receivedHeads = new LinkedBlockingQueue<>();

    /** The heads of the requests that the server has received. */
    BlockingQueue<String> receivedHeads() {
        return receivedHeads;
    }

    /** Closes a part of the test at its end, before the parts that were added earlier. */
    void closeAtEnd(AutoCloseable part) {
        open.add(0, part);
    }

    /** Closes the servers, the nodes and the other parts. */
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    /** Starts a server that behaves like this, and a node in front of it. */
    RunningNode nodeInFrontOf(Path folder, Behaviour behaviour) throws Exception {
        return nodeInFrontOf(folder, new TestConfig(), 1, behaviour);
    }

    /** Starts servers that behave like this, and a node with this configuration before them. */
    RunningNode nodeInFrontOf(Path folder, TestConfig config, int servers, Behaviour behaviour)
            throws Exception {
        for (int i = 1; i <= servers; i++) {
            config.withEndpoints(
                    endpointJson("s-" + i, "127.0.0.1:" + listen(behaviour), "in_service"));
        }
        RunningNode node = RunningNode.ready(folder, config, UNREACHABLE);
        open.add(0, node);
        return node;
    }

    private int listen(Behaviour behaviour) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(listener);
        thread(
                () -> {
                    while (!listener.isClosed()) {
                        Socket connection = listener.accept();
                        thread(() -> serve(connection, behaviour));
                    }
                });
        return listener.getLocalPort();
    }

    private void serve(Socket connection, Behaviour behaviour) throws Exception {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (String head = head(in); head != null; head = head(in)) {
                receivedHeads.add(head);
                behaviour.reply(head, in, connection.getOutputStream());
                if (head.contains("do=close")) {
                    return;
                }
                if (head.contains("do=reset")) {
                    connection.setSoLinger(true, 0);
                    return;
                }
            }
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void thread(Task work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The peer has disconnected, or the test is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
