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

/** The program stopped and continued by the system under requests that it has taken. */
@Timeout(120)
class StallIT {

    // As RunningNode.Client.request has it, and a tenth more.
    private static final long REQUEST_OVER_MS = 1_000;

    @TempDir private Path folder;

    /**
     * Guards against a request whose time ran out while the node stood still being taken for a new
     * one: sent on and waited for once more, it was answered a whole deadline late, which the
     * operators count as lost.
     */
    @Test
    void whatCameWhileTheNodeStoodStillIsJudgedByWhenItCame() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                "127.0.0.1:1");
                Client known = node.client()) {
            assertEquals(200, known.ask(Client.request("grant", "ok", "")).status());
            server.requests.clear();
            node.standStill();
            try (Client fresh = node.client()) {
                known.write(Client.request("grant", "silence", ""));
                fresh.write(Client.request("grant", "silence", ""));
                park(REQUEST_OVER_MS);
                node.goOn();
                assertEquals(503, known.read().status(), "on a connection that was open before");
                assertEquals(503, fresh.read().status(), "on a new connection");
            }
            assertTrue(server.requests.isEmpty(), "sent on though its time was up");
            assertEquals(200, known.ask(Client.request("grant", "ok", "")).status());
        }
    }

    /**
     * Guards against a node that goes by its clock before it reads: continued, it closed as idle
     * what a request had come on meanwhile, and gave up attempts whose answers were there.
     */
    @Test
    void whatCameWhileTheNodeStoodStillIsReadBeforeTimeIsUp() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        try (StubServer server = StubServer.obedient(answered);
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                "127.0.0.1:1");
                Client idle = node.client()) {
            assertEquals(200, idle.ask(Client.request("grant", "ok", "")).status());
            // Idle connections are closed after five seconds.
            park(4_400);
            server.requests.clear();
            Client asking = node.client();
            asking.write(Client.request("grant", "late", ""));
            assertTrue(server.requests.poll(10, TimeUnit.SECONDS).target().endsWith("late"));
            node.standStill();
            answered.countDown();
            idle.write(Client.request("grant", "ok", ""));
            park(REQUEST_OVER_MS);
            node.goOn();
            assertEquals(503, idle.read().status(), "refused: its time was up");
            assertEquals(200, asking.read().status(), "the answer was there");
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
