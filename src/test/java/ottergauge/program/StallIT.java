// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** The process is stopped and continued (SIGSTOP, SIGCONT) while it has open requests. */
@Timeout(120)
class StallIT {

    // A tenth more than the deadline that RunningNode.Client.request sets.
    private static final long OVER_REQUEST_DEADLINE_MS = 1_000;

    @TempDir private Path folder;

    /**
     * Guards against a node that treats a request as new although its deadline passed during a
     * stall. Such a node forwarded the request and waited for the server once more. Its own
     * response came a full deadline late, which operators count as lost.
     */
    @Test
    void requestsReceivedDuringAStallAreTimedFromTheirArrival() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                "127.0.0.1:1");
                Client known = node.client()) {
            assertEquals(200, known.exchange(Client.request("grant", "ok", "")).status());
            server.requests.clear();
            node.pauseProcess();
            try (Client fresh = node.client()) {
                known.write(Client.request("grant", "silence", ""));
                fresh.write(Client.request("grant", "silence", ""));
                park(OVER_REQUEST_DEADLINE_MS);
                node.resumeProcess();
                assertEquals(503, known.read().status(), "on a connection that was open before");
                assertEquals(503, fresh.read().status(), "on a new connection");
            }
            assertTrue(server.requests.isEmpty(), "forwarded although its deadline had passed");
            assertEquals(200, known.exchange(Client.request("grant", "ok", "")).status());
        }
    }

    /**
     * Guards against a node that runs its timers before it reads its sockets: after a stall it
     * closed connections as idle although a request had arrived on them, and gave up attempts whose
     * responses had arrived.
     */
    @Test
    void inputReceivedDuringAStallIsReadBeforeTimersFire() throws Exception {
        CountDownLatch responsesAllowed = new CountDownLatch(1);
        try (StubServer server = StubServer.queryControlled(responsesAllowed);
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                "127.0.0.1:1");
                Client idle = node.client()) {
            assertEquals(200, idle.exchange(Client.request("grant", "ok", "")).status());
            // Idle connections are closed after five seconds.
            park(4_400);
            server.requests.clear();
            Client asking = node.client();
            asking.write(Client.request("grant", "late", ""));
            assertTrue(server.requests.poll(10, TimeUnit.SECONDS).target().endsWith("late"));
            node.pauseProcess();
            responsesAllowed.countDown();
            idle.write(Client.request("grant", "ok", ""));
            park(OVER_REQUEST_DEADLINE_MS);
            node.resumeProcess();
            assertEquals(503, idle.read().status(), "rejected: its deadline had passed");
            assertEquals(200, asking.read().status(), "the response had arrived");
            asking.close();
        }
    }

    private static void park(long millis) {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }
}
