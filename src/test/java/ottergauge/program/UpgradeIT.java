// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ottergauge.program.AdminClient.call;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** Requests during an upgrade, while two processes of one node serve on one address. */
@Timeout(120)
class UpgradeIT {

    private static final String UNREACHABLE = "127.0.0.1:1";
    private static final int MAX_CONNECTIONS = 50;

    @TempDir private Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();
    private int port;

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T closing(T each) {
        open.add(0, each);
        return each;
    }

    private RunningNode process(int adminPort, StubServer server) throws Exception {
        port = port == 0 ? RunningNode.freePort() : port;
        return closing(
                RunningNode.ready(
                        folder,
                        new TestConfig()
                                .withAdminListener("127.0.0.1:" + adminPort)
                                .withEndpoints(endpointJson("s-1", server.address(), "in_service")),
                        UNREACHABLE,
                        port));
    }

    // The operating system chooses the process of a connection; the metrics show which it is.
    private Client clientOf(RunningNode node, int adminPort) throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            Client client = closing(node.client());
            long before = completed(adminPort);
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            if (completed(adminPort) > before) {
                return client;
            }
        }
        throw new IllegalStateException("no connection to the process at " + adminPort);
    }

    private static long completed(int adminPort) throws IOException {
        return call(adminPort, "GET /stats")
                .body()
                .lines()
                .filter(line -> line.startsWith("balancer.completed.read="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    private static long grants(StubServer server) {
        return server.requests.stream()
                .filter(request -> request.startLine().startsWith("POST"))
                .count();
    }

    /**
     * Guards against a second execution at the other process: a bad client sends the id of a
     * request that is open, or whose client has left, in either direction.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void idOfARequestAtOneProcessIsNotExecutedByTheOther(boolean newProcessFirst) throws Exception {
        StubServer server = closing(StubServer.queryControlled());
        int before = RunningNode.freePort();
        int after = RunningNode.freePort();
        RunningNode old = process(before, server);
        RunningNode next = process(after, server);
        old.awaitLog("runs beside another process");
        Client first = newProcessFirst ? clientOf(next, after) : clientOf(old, before);
        Client second = newProcessFirst ? clientOf(old, before) : clientOf(next, after);
        Client third = newProcessFirst ? clientOf(old, before) : clientOf(next, after);
        first.write(Client.request("grant", "same", "silence", "x"));
        next.await("sent", () -> grants(server) == 1);
        assertEquals(
                409, second.exchange(Client.request("grant", "same", "silence", "x")).status());
        first.close();
        assertEquals(409, third.exchange(Client.request("grant", "same", "ok", "x")).status());
        assertEquals(1, grants(server));
    }

    /** Guards against a second execution after the process of the first one has ended. */
    @Test
    void idOfARequestAtAnEndedProcessIsNotExecutedByTheOther() throws Exception {
        StubServer server = closing(StubServer.queryControlled());
        int before = RunningNode.freePort();
        int after = RunningNode.freePort();
        RunningNode old = process(before, server);
        RunningNode next = process(after, server);
        old.awaitLog("runs beside another process");
        try (Client leaving = clientOf(old, before)) {
            leaving.write(Client.request("grant", "same", "silence", "x"));
            next.await("sent", () -> grants(server) == 1);
        }
        old.process.destroy();
        old.exitCode();
        next.awaitLog("runs alone again");
        try (Client again = next.client()) {
            assertEquals(409, again.exchange(Client.request("grant", "same", "ok", "x")).status());
        }
        assertEquals(1, grants(server));
    }
}
