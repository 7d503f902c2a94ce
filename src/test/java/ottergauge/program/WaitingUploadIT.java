// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.requestWithFields;
import static ottergauge.program.RawHttp.write;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
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
}
