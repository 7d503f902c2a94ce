// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.program.RawHttp.body;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.checksum;
import static ottergauge.program.RawHttp.head;
import static ottergauge.program.RawHttp.text;

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

/** Servers that pause in the middle of a long response, and clients that do. */
@Timeout(120)
class PausingServerIT {

    private static final int LENGTH = 1 << 20;
    private static final int FIRST_PART = 300_000;

    /** More than the buffers of the operating system take. */
    private static final int UNREAD_LENGTH = 32 << 20;

    /** Longer than a client may go without reading, which is no fault of this client. */
    private static final long PAUSE_MS = TimeUnit.SECONDS.toMillis(12);

    @TempDir private Path folder;
    private final ScriptedServer server = new ScriptedServer();

    @AfterEach
    void closeAll() throws Exception {
        server.closeAll();
    }

    /**
     * Guards against a node that takes a client for one that does not read, while its server has
     * nothing to be read: what the server still gives would be cut off.
     */
    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    void longResponseWhoseServerPausesIsRelayedToItsEnd(String framing) throws Exception {
        byte[] response = bytes(LENGTH);
        boolean chunked = "chunked".equals(framing);
        RunningNode node =
                server.nodeInFrontOf(
                        folder,
                        (requestHead, in, out) -> {
                            body(requestHead, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\n"
                                                    + (chunked
                                                            ? "Transfer-Encoding: chunked\r\n\r\n"
                                                                    + Integer.toHexString(LENGTH)
                                                                    + "\r\n"
                                                            : "Content-Length: "
                                                                    + LENGTH
                                                                    + "\r\n\r\n")));
                            out.write(response, 0, FIRST_PART);
                            Thread.sleep(PAUSE_MS);
                            out.write(response, FIRST_PART, LENGTH - FIRST_PART);
                            out.write(text(chunked ? "\r\n0\r\n\r\n" : ""));
                        });
        try (Client client = node.client()) {
            client.write(Client.request("grant", "ok", ""));
            InputStream in = client.socket().getInputStream();
            String responseHead = head(in);
            assertTrue(responseHead.startsWith("HTTP/1.1 200"), responseHead);
            byte[] received = body(responseHead, in);
            assertTrue(received != null, "the response was cut off");
            assertEquals(checksum(response), checksum(received));
        }
    }

    /**
     * Guards against a client that keeps its stream for ever: it reads nothing while its server
     * goes on, which is the client's own silence.
     */
    @Test
    void clientThatReadsNothingOfALongResponseIsClosed() throws Exception {
        RunningNode node =
                server.nodeInFrontOf(
                        folder,
                        (requestHead, in, out) -> {
                            body(requestHead, in);
                            out.write(
                                    text(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + UNREAD_LENGTH
                                                    + "\r\n\r\n"));
                            out.write(bytes(UNREAD_LENGTH));
                        });
        try (Client client = node.client()) {
            client.write(Client.request("grant", "ok", ""));
            node.awaitLog("code=SLOW_ANSWER");
            assertTrue(node.log().contains("phase=RELAYING_RESPONSE"), node.log());
        }
    }
}
