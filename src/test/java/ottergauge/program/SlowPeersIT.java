// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.program.RawHttp.body;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.checksum;
import static ottergauge.program.RawHttp.head;
import static ottergauge.program.RawHttp.requestWithFields;
import static ottergauge.program.RawHttp.text;
import static ottergauge.program.RawHttp.write;
import static ottergauge.program.ScriptedServer.ECHO;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.program.ScriptedServer.Behaviour;

/** Clients and servers that read or write slowly, or stop, on both sides of a real process. */
@Timeout(120)
class SlowPeersIT {

    private static final int LARGE = 8 << 20;
    private static final int SLOW_READ_BYTES = 256 << 10;

    @TempDir private Path folder;
    private final ScriptedServer server = new ScriptedServer();

    @AfterEach
    void closeAll() throws Exception {
        server.closeAll();
    }

    private RunningNode nodeInFrontOf(Behaviour behaviour) throws Exception {
        return server.nodeInFrontOf(folder, behaviour);
    }

    @ParameterizedTest
    @ValueSource(strings = {"ok", "chunked", "close"})
    void largeResponseIsRelayedUnchangedToASlowClient(String action) throws Exception {
        byte[] body = bytes(LARGE);
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 \r\n"
                                                    + switch (action) {
                                                        case "chunked" ->
                                                                "transfer-encoding: Chunked\r\n\r\n"
                                                                        + Integer.toHexString(LARGE)
                                                                        + "\r\n";
                                                        case "close" -> "\r\n";
                                                        default ->
                                                                "CONTENT-LENGTH: "
                                                                        + LARGE
                                                                        + "\r\n\r\n";
                                                    }));
                            out.write(body);
                            if ("chunked".equals(action)) {
                                out.write(text("\r\n0\r\n\r\n"));
                            }
                        });
        try (Client client = node.client()) {
            write(client.socket(), requestWithFields(action, "Content-Length: 0\r\n"));
            InputStream in = new BufferedInputStream(client.socket().getInputStream(), 1 << 14);
            String head = head(in);
            // Longer than the deadline of 0.9 s, which no longer applies once the response has
            // begun.
            in.mark(1);
            assertTrue(in.read() >= 0);
            in.reset();
            Thread.sleep(1_500);
            assertEquals(checksum(body), checksum(body(head, in)));
        }
    }

    /**
     * The node's memory is bounded: it can relay a dozen responses of 32 MB that are not read for a
     * while.
     */
    @Test
    void unreadResponsesAreHeldBackAtTheServer() throws Exception {
        int length = 32 << 20;
        byte[] body = bytes(1 << 20);
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + length
                                                    + "\r\n\r\n"));
                            for (int i = 0; i < length / body.length; i++) {
                                out.write(body);
                            }
                        });
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Client client = node.client();
            server.closeAtEnd(client);
            clients.add(client);
            write(client.socket(), requestWithFields("ok", "Content-Length: 0\r\n"));
        }
        for (Client client : clients) {
            InputStream in = new BufferedInputStream(client.socket().getInputStream(), 1 << 16);
            String head = head(in);
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            long left = length;
            byte[] part = new byte[1 << 16];
            for (int n = in.read(part); n > 0; n = left > 0 ? in.read(part) : 0) {
                left -= n;
            }
            assertEquals(0, left);
        }
    }

    /**
     * Guards against a node that runs out of memory for I/O buffers. Its event loop would block for
     * half a second at each read: small requests would time out, and responses would be truncated
     * although their servers still send them.
     */
    @Test
    void manySlowReadersDelayNoOtherRequest() throws Exception {
        int slowReaders = 300;
        int length = 4 << 20;
        byte[] body = bytes(length);
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            boolean large = head.contains("do=large");
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + (large ? length : 2)
                                                    + "\r\n\r\n"));
                            out.write(large ? body : text("ok"));
                        });
        List<Client> readers = new ArrayList<>();
        for (int i = 0; i < slowReaders; i++) {
            Client reader = slowReader(node);
            readers.add(reader);
            reader.write(Client.request("grant", "large", ""));
            String head = head(reader.socket().getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200"), i + ": " + head);
        }
        for (int i = 0; i < 20; i++) {
            try (Client client = node.client()) {
                assertEquals(200, client.exchange(Client.request("grant", "small", "")).status());
            }
        }
        // All in turn, so that none stalls.
        for (int from = 0; from < length; from += SLOW_READ_BYTES) {
            byte[] expected = Arrays.copyOfRange(body, from, from + SLOW_READ_BYTES);
            for (Client reader : readers) {
                InputStream in = reader.socket().getInputStream();
                assertArrayEquals(expected, in.readNBytes(SLOW_READ_BYTES), "from byte " + from);
            }
        }
    }

    /**
     * Guards against a node that takes a client for stalled which reads steadily at 64 KiB a
     * second: the operating system takes more of a response only after a large part of its buffers
     * has been read.
     */
    @Test
    void longResponseThatIsReadSlowlyIsNotTruncated() throws Exception {
        int length = 6 << 20;
        int bytesPerStep = 16 << 10;
        int stepsPerSecond = 4;
        int slowSteps = 14 * stepsPerSecond;
        byte[] body = bytes(length);
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + length
                                                    + "\r\n\r\n"));
                            out.write(body);
                        });
        try (Client client = node.client()) {
            client.write(Client.request("grant", "ok", ""));
            InputStream in = client.socket().getInputStream();
            assertTrue(head(in).startsWith("HTTP/1.1 200"));
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            for (int i = 0; i < slowSteps; i++) {
                received.write(in.readNBytes(bytesPerStep));
                Thread.sleep(1_000 / stepsPerSecond);
            }
            received.write(in.readNBytes(length - received.size()));
            assertEquals(checksum(body), checksum(received.toByteArray()));
        }
    }

    // A small receive buffer, so that the node and not the operating system holds the response.
    private Client slowReader(RunningNode node) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4 << 10);
        socket.connect(node.socketAddress());
        Client client = new Client(socket);
        server.closeAtEnd(client);
        return client;
    }

    /**
     * A request whose head takes two seconds is served; a connection with an incomplete head is
     * closed.
     */
    @Test
    void slowRequestHeadIsServedAndIncompleteHeadIsNot() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        String request = requestWithFields("ok", "Content-Length: 0\r\n");
        long from = System.nanoTime();
        try (Client slow = node.client();
                Client half = node.client()) {
            half.write("POST /api HT");
            int steps = 20;
            for (int i = 0; i < steps; i++) {
                int begin = request.length() * i / steps;
                slow.write(request.substring(begin, request.length() * (i + 1) / steps));
                Thread.sleep(100);
            }
            assertEquals(200, slow.read().status());
            assertTrue(half.atEnd());
            assertTrue(
                    System.nanoTime() - from < TimeUnit.SECONDS.toNanos(3),
                    "within 3 s of connecting");
        }
    }

    /**
     * Guards against a client that stops between two header lines of its second request and counts
     * as idle: it is owed an error or a close within 3 s.
     */
    @Test
    void headThatStopsAfterACompleteLineIsClosedInTime() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        try (Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("grant", "ok", "x")).status());
            long from = System.nanoTime();
            client.write("POST /api HTTP/1.1\r\nHost: x\r\n");
            assertTrue(client.atEnd());
            assertTrue(
                    System.nanoTime() - from < TimeUnit.SECONDS.toNanos(3),
                    "within 3 s of the last byte");
        }
    }

    /**
     * The deadline of 0.9 s counts from the last byte of the request: a request whose body takes
     * over two seconds is served.
     */
    @Test
    void slowRequestBodyIsServed() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        byte[] body = bytes(160 * 1024);
        try (Client client = node.client()) {
            write(
                    client.socket(),
                    requestWithFields(
                            "ok",
                            "Content-Length: " + body.length + "\r\nExpect: 100-continue\r\n"));
            assertTrue(head(client.socket().getInputStream()).startsWith("HTTP/1.1 100"));
            int steps = 25;
            for (int i = 0; i < steps; i++) {
                int begin = body.length * i / steps;
                client.socket()
                        .getOutputStream()
                        .write(body, begin, body.length * (i + 1) / steps - begin);
                Thread.sleep(100);
            }
            HttpMessage reply = client.read();
            assertEquals(200, reply.status());
            assertEquals(checksum(body), reply.body());
        }
    }

    /**
     * A body that stops before its announced length ends the connection; the server never gets the
     * complete body.
     */
    @Test
    void stalledRequestBodyEndsTheConnection() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        try (Client client = node.client()) {
            long from = System.nanoTime();
            write(
                    client.socket(),
                    requestWithFields("ok", "Content-Length: 200000\r\n"),
                    bytes(100_000));
            assertTrue(client.atEnd());
            assertTrue(
                    System.nanoTime() - from < TimeUnit.SECONDS.toNanos(3),
                    "within 3 s of connecting");
        }
    }

    /**
     * The deadline of 0.9 s counts from the last byte that the client has written, even if the node
     * can't read that far because the server does not read. The response may be 0.5 s late.
     */
    @ParameterizedTest
    @ValueSource(ints = {1 << 20, 4_000_000, 6 << 20})
    void longBodyToAServerThatHangsIsRejectedInTime(int length) throws Exception {
        CountDownLatch testOver = new CountDownLatch(1);
        server.closeAtEnd(testOver::countDown);
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            in.readNBytes(64 << 10);
                            testOver.await();
                        });
        try (Client client = node.client()) {
            write(
                    client.socket(),
                    requestWithFields("ok", "Content-Length: " + length + "\r\n"),
                    bytes(length));
            long writtenAt = System.nanoTime();
            int status = client.read().status();
            long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAt);
            assertTrue(waited < 900 + 500, "answered after " + waited + " ms");
            // A request that the server has read whole may have run.
            assertTrue(status == 503 || status == 502, "status: " + status);
        }
    }

    /**
     * Guards against a response that comes seconds late: the server reads a long body slowly but
     * steadily, and the client has written all of it long before.
     */
    @Test
    void longBodyThatAServerReadsSlowlyIsRejectedInTime() throws Exception {
        int length = 16 << 20;
        int bytesPerStep = 30_000;
        int stepMs = 10;
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            while (in.readNBytes(bytesPerStep).length > 0) {
                                Thread.sleep(stepMs);
                            }
                        });
        try (Client client = node.client()) {
            long writtenAt = System.nanoTime();
            try {
                write(
                        client.socket(),
                        requestWithFields("ok", "Content-Length: " + length + "\r\n"),
                        bytes(length));
                writtenAt = System.nanoTime();
            } catch (IOException e) {
                // The node has rejected the request before all of it was written.
            }
            int status = client.read().status();
            long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAt);
            assertTrue(waited < 900 + 500, "answered after " + waited + " ms");
            assertTrue(status == 503 || status == 502, "status: " + status);
        }
    }
}
