// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Exit;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ForwardStream;
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

    /**
     * Guards against requests that SIGKILL finds unanswered: at a planned restart it comes 0.7 s
     * after the longest deadline, here 1 s. An upload that ends too late for its full time is
     * answered before, and so is one that has not ended.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void uploadsThatEndLateOrNotAtAll_areAnsweredBeforeTheProcessIsKilled(boolean handover) {
        RouterDriver node = one();
        long complete = upload(node, "late");
        ForwardStream forward = connectNext(node);
        long incomplete = upload(node, "never");
        ForwardStream endless = connectNext(node);
        long buffering = node.client();
        node.handle(new Event.RequestHeadReceived(buffering));
        node.handle(new Event.ShutdownRequested(handover));
        for (int i = 0; i < 13; i++) {
            node.advanceMs(100);
            node.handle(new Event.BodyProgress(complete, 6_400));
            node.handle(new Event.BodyProgress(incomplete, 6_400));
            node.handle(new Event.BodyProgress(buffering, 6_400));
        }
        node.handle(new Event.StreamedRequestCompleted(complete));
        node.handle(new Event.RequestWritten(forward.connection()));
        node.expectNo(Respond.class);
        node.advanceMs(250);
        Respond failed = node.expect(Respond.class);
        assertEquals(complete, failed.client());
        assertEquals(502, failed.status());
        Respond rejected = node.expect(Respond.class);
        assertEquals(incomplete, rejected.client());
        assertEquals(503, rejected.status());
        assertTrue(rejected.retryAfterMicros() > 0);
        assertTrue(rejected.closeAfter());
        Respond unread = node.expect(Respond.class);
        assertEquals(buffering, unread.client());
        assertEquals(503, unread.status());
        assertTrue(
                node.all(CloseUpstream.class).stream()
                        .anyMatch(close -> close.connection() == endless.connection()));
    }

    /** Guards against a request that is taken too late to be answered before SIGKILL. */
    @Test
    void requestAfterTheLastResponse_isRejectedAtOnce() {
        RouterDriver node = one();
        long client = node.client();
        node.handle(new Event.RequestHeadStarted(client));
        node.handle(new Event.ShutdownRequested(false));
        node.advanceMs(1_600);
        long late = node.request("grant");
        node.expectNo(Forward.class);
        assertTrue(
                node.all(Respond.class).stream()
                        .anyMatch(each -> each.client() == late && each.status() == 503));
    }

    private static long upload(RouterDriver node, String traceId) {
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.handle(
                new Event.StreamedRequestStarted(
                        client, RouterDriver.clientRequest("grant", traceId, 1000)));
        return client;
    }

    private static ForwardStream connectNext(RouterDriver node) {
        node.handle(new Event.UpstreamConnected(node.expect(ConnectUpstream.class).connection()));
        return node.expect(ForwardStream.class);
    }
}
