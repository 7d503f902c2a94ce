// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.Exit;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.Respond;

/** Tests the graceful shutdown of a node. */
class ShutdownTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    @Test
    void shutdown_acceptsAndAnswersAllRequestsAndExits() {
        RouterDriver node = one();
        long idle = node.client();
        long inFlight = node.request("read");
        Forward forward = node.connectNext();
        node.written(forward);
        node.handle(new Event.ShutdownRequested(false));
        long healthCheck = node.client();
        node.handle(new Event.HealthRequested(healthCheck, true));
        assertEquals(503, node.status(healthCheck));
        node.handle(new Event.ClientClosed(healthCheck));
        node.advanceMs(400);
        long late = node.request("read");
        node.serve(node.connectNext());
        Respond respond = node.expect(Respond.class);
        assertEquals(late, respond.client());
        assertEquals(200, respond.status());
        assertTrue(respond.closeAfter());
        node.handle(new Event.ClientClosed(late));
        node.expectNo(CloseClient.class);
        node.advanceMs(200);
        assertEquals(new CloseClient(idle, CloseReason.STOPPING), node.expect(CloseClient.class));
        node.expectNo(Exit.class);
        node.answer(forward, 200, false);
        assertEquals(200, node.status(inFlight));
        node.expectNo(Exit.class);
        node.handle(new Event.ClientClosed(inFlight));
        node.expect(Exit.class);
    }

    @Test
    void lateSilentClient_doesNotDelayTheExit() {
        RouterDriver node = one();
        node.handle(new Event.ShutdownRequested(false));
        long busy = node.request("read");
        Forward forward = node.connectNext();
        node.written(forward);
        node.advanceMs(600);
        long late = node.client();
        node.answer(forward, 200, false);
        assertEquals(200, node.status(busy));
        node.handle(new Event.ClientClosed(busy));
        node.expectNo(Exit.class);
        node.advanceMs(1100);
        assertEquals(new CloseClient(late, CloseReason.STOPPING), node.expect(CloseClient.class));
        node.expect(Exit.class);
    }

    @Test
    void servingNode_isReady() {
        RouterDriver node = one();
        long client = node.client();
        node.handle(new Event.HealthRequested(client, true));
        assertEquals(200, node.status(client));
    }
}
