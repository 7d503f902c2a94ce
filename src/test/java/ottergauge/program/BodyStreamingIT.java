// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.program.RawHttp.body;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.checksum;
import static ottergauge.program.RawHttp.head;
import static ottergauge.program.RawHttp.requestWithFields;
import static ottergauge.program.RawHttp.text;
import static ottergauge.program.RawHttp.write;
import static ottergauge.program.ScriptedServer.ECHO;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.program.ScriptedServer.Behaviour;

/** Large bodies and all forms of HTTP/1.1 framing, on both sides of a real process. */
@Timeout(120)
class BodyStreamingIT {

    private static final int LARGE = 8 << 20;

    @TempDir private Path folder;
    private final ScriptedServer server = new ScriptedServer();

    @AfterEach
    void closeAll() throws Exception {
        server.closeAll();
    }

    private RunningNode nodeInFrontOf(Behaviour behaviour) throws Exception {
        return server.nodeInFrontOf(folder, behaviour);
    }

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
                server.receivedHeads().poll(5, TimeUnit.SECONDS).contains("ontent-"));
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
