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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;

/**
 * Servers that pause in the middle of a long response. It is known to fail (KNOWN-RED.txt), so that
 * its name keeps it out of the usual run; {@code -Dit.test=PausingServerCheck} runs it.
 */
@Timeout(120)
class PausingServerCheck {

    private static final int LENGTH = 1 << 20;
    private static final int FIRST_PART = 300_000;

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
}
