// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** Large bodies, slow peers and all forms of HTTP/1.1 framing, on both sides of a real process. */
@Timeout(120)
class BodyStreamingIT {

    private static final String UNREACHABLE = "127.0.0.1:1";
    private static final int LARGE = 8 << 20;
    private static final int SLOW_READ_BYTES = 256 << 10;

    /** Handles a request whose head has been read; its body, if any, has not. */
    private interface Behaviour {
        void reply(String head, InputStream in, OutputStream out)
                throws IOException, InterruptedException;
    }

    @TempDir private Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<String> receivedHeads = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private RunningNode nodeInFrontOf(Behaviour behaviour) throws Exception {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(listener);
        thread(
                () -> {
                    while (!listener.isClosed()) {
                        Socket connection = listener.accept();
                        thread(() -> serve(connection, behaviour));
                    }
                });
        RunningNode node =
                RunningNode.ready(
                        folder,
                        new TestConfig()
                                .withEndpoints(
                                        endpointJson(
                                                "s-1",
                                                "127.0.0.1:" + listener.getLocalPort(),
                                                "in_service")),
                        UNREACHABLE);
        open.add(0, node);
        return node;
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

    /** Reads a head unchanged; null at the end of the stream. */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        for (int c = in.read(); c >= 0; c = in.read()) {
            head.write(c);
            last = last << 8 | c;
            if (last == 0x0d0a0d0a) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    /** Reads the body that a head announces; null if it is truncated. */
    private static byte[] body(String head, InputStream in) throws IOException {
        if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            int at = head.toLowerCase(Locale.ROOT).indexOf("content-length:");
            String field = at < 0 ? "0" : head.substring(at + 15, head.indexOf('\r', at)).trim();
            int length = Integer.parseInt(field);
            byte[] body = in.readNBytes(length);
            return body.length < length ? null : body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            if (line == null) {
                return null;
            }
            int size = Integer.parseInt(line.trim(), 16);
            byte[] part = in.readNBytes(size);
            body.write(part);
            if (part.length < size || line(in) == null) {
                return null;
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            line.append((char) c);
        }
        return null;
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static String checksum(byte[] bytes) {
        CRC32 checksum = new CRC32();
        checksum.update(bytes);
        return bytes.length + ":" + checksum.getValue();
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String requestWithFields(String action, String fields) {
        return Client.request("grant", action, "").replace("Content-Length: 0\r\n", fields);
    }

    private static void write(Socket socket, String head, byte[]... parts) throws IOException {
        socket.getOutputStream().write(text(head));
        for (byte[] part : parts) {
            socket.getOutputStream().write(part);
        }
    }

    // A server that responds with the checksum of the request body.
    private static final Behaviour ECHO =
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

    /**
     * Guards against a node that never forwards a request that arrived completely before the
     * connection to its server was established.
     */
    @Test
    void requestJustTooLargeToBufferIsForwardedOnceItsServerIsConnected() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        byte[] body = bytes((64 << 10) + 100);
        try (Client client = node.client()) {
            node.pauseProcess();
            write(
                    client.socket(),
                    requestWithFields("ok", "Content-Length: " + body.length + "\r\n"),
                    body);
            node.resumeProcess();
            assertEquals(checksum(body), client.read().body());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    void largeRequestIsForwardedUnchanged(String framing) throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        byte[] body = bytes(LARGE);
        try (Client client = node.client()) {
            if ("length".equals(framing)) {
                write(
                        client.socket(),
                        requestWithFields("ok", "Content-Length: " + LARGE + "\r\n"),
                        body);
            } else {
                write(
                        client.socket(),
                        requestWithFields("ok", "Transfer-Encoding: CHUNKED\r\n"),
                        text(Integer.toHexString(LARGE) + ";name=value\r\n"),
                        body,
                        text("\r\n0\r\nTrailer: x\r\n\r\n"));
            }
            HttpMessage reply = client.read();
            assertEquals(200, reply.status());
            assertEquals(checksum(body), reply.body());
            // The connection and the server connection stay usable.
            assertEquals(200, client.exchange(Client.request("grant", "ok", "small")).status());
        }
        assertEquals(
                "length".equals(framing),
                receivedHeads.poll(5, TimeUnit.SECONDS).contains("ontent-"));
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
            open.add(0, client);
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
        open.add(0, client);
        return client;
    }

    /** The client can detect that its server has truncated a response. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void truncatedResponseIsRecognizablyIncomplete(String action) throws Exception {
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + LARGE
                                                    + "\r\n\r\n"));
                            out.write(bytes(1 << 18));
                        });
        try (Client client = node.client()) {
            write(client.socket(), requestWithFields(action, "Content-Length: 0\r\n"));
            InputStream in = client.socket().getInputStream();
            String head = head(in);
            assertTrue(head.contains("ength: " + LARGE), head);
            assertNull(bodyOrNull(head, in));
        }
    }

    private static byte[] bodyOrNull(String head, InputStream in) {
        try {
            return body(head, in);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * A response without a length ends when its connection is closed. If the connection is reset,
     * the response has failed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void shortResponseWithoutLengthEndsWithTheConnectionClose(String action) throws Exception {
        RunningNode node =
                nodeInFrontOf(
                        (head, in, out) -> {
                            body(head, in);
                            out.write(
                                    text("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\n\r\nhello"));
                            if ("reset".equals(action)) {
                                // The bytes have to arrive before the reset.
                                Thread.sleep(100);
                            }
                        });
        try (Client client = node.client()) {
            HttpMessage reply = client.exchange(requestWithFields(action, "Content-Length: 0\r\n"));
            assertEquals("close".equals(action) ? 200 : 502, reply.status());
            assertEquals("close".equals(action) ? "hello" : "", reply.body());
        }
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
        open.add(testOver::countDown);
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

    @Test
    void bodyOverTheSizeLimitIsRejectedBeforeItIsRead() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        try (Client client = node.client()) {
            assertEquals(
                    413,
                    client.exchange(requestWithFields("ok", "Content-Length: 60000000\r\n"))
                            .status());
        }
    }

    /**
     * If the client asks for it, the node closes the connection after the response and announces
     * it.
     */
    @Test
    void connectionHeaderWithSeveralValuesIsParsed() throws Exception {
        RunningNode node = nodeInFrontOf(ECHO);
        try (Client client = node.client()) {
            HttpMessage reply =
                    client.exchange(
                            requestWithFields(
                                    "ok", "Content-Length: 0\r\nCONNECTION: x-mine, Close\r\n"));
            assertEquals(200, reply.status());
            assertEquals("close", reply.headers().get("connection"));
            assertTrue(client.atEnd());
        }
    }
}
