// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.requestWithFields;
import static ottergauge.program.RawHttp.write;
import static ottergauge.program.ScriptedServer.ECHO;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/**
 * Requests whose body is too large to be buffered and that wait for a server, at a real process.
 */
@Timeout(120)
class WaitingUploadIT {

    private static final String UNREACHABLE = "127.0.0.1:1";
    private static final int JUST_TOO_LARGE_TO_BUFFER = (64 << 10) + 200;

    @TempDir private Path folder;
    private final ScriptedServer server = new ScriptedServer();

    @AfterEach
    void closeAll() throws Exception {
        server.closeAll();
    }

    /**
     * Guards against a connection that is never read again after its request was rejected: the
     * client's next request on it would get no response.
     */
    @Test
    void connectionIsReadAgainAfterItsWaitingRequestWasRejected() throws Exception {
        String refusing = "127.0.0.1:" + RunningNode.freePort();
        try (RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(endpointJson("s-1", refusing, "in_service")),
                                UNREACHABLE);
                Client client = node.client()) {
            node.pauseProcess();
            write(
                    client.socket(),
                    requestWithFields("ok", "Content-Length: " + JUST_TOO_LARGE_TO_BUFFER + "\r\n"),
                    bytes(JUST_TOO_LARGE_TO_BUFFER));
            node.resumeProcess();
            HttpMessage rejected = client.read();
            assertEquals(503, rejected.status());
            assertEquals(null, rejected.headers().get("connection"));
            assertEquals(503, client.exchange(Client.request("grant", "ok", "small")).status());
        }
    }

    /**
     * Guards against an attempt for a client that has left: the end of its connection is behind the
     * part of the body that the node does not read before it has chosen a server.
     */
    @ParameterizedTest
    @CsvSource({
        "100000,false",
        "1000000,false",
        "3000000,false",
        "100000,true",
        "1000000,true",
        "3000000,true"
    })
    void requestOfAClientThatHasLeftIsNotForwarded(int length, boolean reset) throws Exception {
        RunningNode node = server.nodeInFrontOf(folder, ECHO);
        try (Client other = node.client()) {
            // The connection to the server is open from now on.
            assertEquals(200, other.exchange(Client.request("grant", "first", "small")).status());
            try (Client leaving = node.client()) {
                node.pauseProcess();
                write(
                        leaving.socket(),
                        requestWithFields("left", "Content-Length: " + length + "\r\n"),
                        bytes(length));
                if (reset) {
                    leaving.socket().setSoLinger(true, 0);
                }
            }
            // An attempt must not begin later than 0.1 s after its client has left.
            Thread.sleep(200);
            node.resumeProcess();
            assertEquals(200, other.exchange(Client.request("grant", "last", "small")).status());
            // An attempt that began would be closed before its last byte.
            Thread.sleep(200);
        }
        assertEquals(
                List.of("first", "last"),
                server.receivedHeads().stream()
                        .map(head -> head.replaceAll("(?s).*do=(\\w+).*", "$1"))
                        .toList());
    }
}
