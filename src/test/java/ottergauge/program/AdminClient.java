// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import ottergauge.program.RunningNode.Client;

/** Sends requests to a node's admin address. */
final class AdminClient {

    private AdminClient() {}

    /** Sends one request, such as {@code GET /stats}, on a connection that the node then closes. */
    static HttpMessage call(int port, String call) throws IOException {
        try (Client operator = new Client(new Socket(InetAddress.getLoopbackAddress(), port))) {
            HttpMessage reply = operator.exchange(call + " HTTP/1.1\r\nHost: x\r\n\r\n");
            assertTrue(operator.atEnd(), "one request per connection");
            return reply;
        }
    }
}
