// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.protocol.Content;
import ottergauge.protocol.RequestFields;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.Respond;

/** Tests that the node sends one final response to each request and rejects invalid requests. */
class RequestHandlerTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    @Test
    void timeout_closesTheConnectionAndAnswersAtOnce() {
        RouterDriver node = one();
        long client = node.request("grant");
        Forward forward = node.connectNext();
        node.written(forward);
        node.advanceMs(799);
        assertEquals(
                new CloseUpstream(forward.connection(), CloseReason.TIMED_OUT),
                node.expect(CloseUpstream.class));
        assertEquals(502, node.status(client));
        node.answer(forward, 200, false);
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        node.expectNo(Respond.class);
    }

    @Test
    void disconnectedClient_hasItsAttemptCancelledAndGetsNoResponse() {
        RouterDriver node = one();
        long client = node.request("read");
        Forward forward = node.connectNext();
        node.written(forward);
        node.handle(new Event.ClientClosed(client));
        assertEquals(
                new CloseUpstream(forward.connection(), CloseReason.CANCELLED),
                node.expect(CloseUpstream.class));
        node.advanceMs(2000);
        node.expectNo(Respond.class);
        node.expectNo(Forward.class);
    }

    @Test
    void clientThatDisconnectsBeforeTheFirstByte_hasNoAttemptWritten() {
        RouterDriver node = one();
        long client = node.request("read");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.handle(new Event.ClientClosed(client));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
    }

    @Test
    void unknownClass_isABadRequest() {
        RouterDriver node = one();
        long client = node.request("unheard-of");
        assertEquals(400, node.status(client));
        node.expectNo(ConnectUpstream.class);
    }

    @Test
    void invalidRequest_isAnsweredAndItsConnectionClosed() {
        RouterDriver node = one();
        long client = node.client();
        node.handle(new Event.InvalidRequest(client, 413, "too large"));
        Respond respond = node.expect(Respond.class);
        assertEquals(413, respond.status());
        assertTrue(respond.closeAfter());
    }

    @Test
    void incompleteRequest_isClosed() {
        RouterDriver node = one();
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.advanceMs(3000);
        assertEquals(
                new CloseClient(client, CloseReason.SLOW_REQUEST), node.expect(CloseClient.class));
    }

    @Test
    void traceIdInFlight_isNotAcceptedAgain() {
        RouterDriver node = one();
        long first = node.client();
        node.handle(
                new Event.RequestReceived(
                        first, RouterDriver.clientRequest("pay", "same", 1000), 0));
        Forward forward = node.connectNext();
        long second = node.client();
        node.handle(
                new Event.RequestReceived(
                        second, RouterDriver.clientRequest("pay", "same", 1000), 0));
        Respond rejected = node.expect(Respond.class);
        assertEquals(409, rejected.status());
        assertEquals(second, rejected.client());
        node.expectNo(ConnectUpstream.class);
        node.serve(forward);
        assertEquals(200, node.status(first));
        long third = node.client();
        node.handle(
                new Event.RequestReceived(
                        third, RouterDriver.clientRequest("pay", "same", 1000), 0));
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.status(third));
    }

    private static long copy(RouterDriver node, String requestClass) {
        long client = node.client();
        node.handle(
                new Event.RequestReceived(
                        client, RouterDriver.clientRequest(requestClass, "same", 1000), 0));
        return client;
    }

    /**
     * Guards against a second execution: a client leaves, its attempt may have run, and another
     * client sends the same id. No deadline is longer than the time for which the id is remembered.
     */
    @ParameterizedTest
    @CsvSource({"grant,true", "pay,true", "read,false"})
    void traceIdOfARequestWhoseClientHasLeft_isNotExecutedAgain(
            String requestClass, boolean rejected) {
        RouterDriver node = one();
        long left = copy(node, requestClass);
        node.written(node.connectNext());
        node.handle(new Event.ClientClosed(left));
        long again = copy(node, requestClass);
        assertEquals(rejected, !node.has(Forward.class) && !node.has(ConnectUpstream.class));
        if (rejected) {
            assertEquals(409, node.status(again));
            node.advanceMs(10_001);
            copy(node, requestClass);
            node.connectNext();
        }
    }

    /** Guards against a second execution of a request that was answered or failed. */
    @ParameterizedTest
    @CsvSource({"grant,200", "grant,500", "pay,500"})
    void traceIdOfAnExecutedRequest_isNotExecutedAgain(String requestClass, int status) {
        RouterDriver node =
                new RouterDriver(new TestConfig().withEndpoints(ONE).withMaxAttempts(1));
        long first = copy(node, requestClass);
        Forward forward = node.connectNext();
        node.written(forward);
        node.answer(forward, status, false);
        assertEquals(status == 200 ? 200 : 502, node.status(first));
        assertEquals(409, node.status(copy(node, requestClass)));
    }

    /** A request that no server has executed may come again. */
    @Test
    void traceIdOfARequestThatNeverRan_isAcceptedAgain() {
        RouterDriver node =
                new RouterDriver(new TestConfig().withEndpoints(ONE).withMaxAttempts(1));
        long first = copy(node, "grant");
        Forward forward = node.connectNext();
        node.written(forward);
        node.answer(forward, 503, true);
        assertEquals(503, node.status(first));
        copy(node, "grant");
        node.expect(Forward.class);
    }

    @ParameterizedTest
    @CsvSource({
        "read,POST,,0",
        "read,GET,,3",
        "pay,POST,,3",
        "pay,GET,key,0",
        "grant,POST,key,3",
        "grant,GET,,0"
    })
    void requestThatDoesNotFitItsClass_isABadRequest(
            String requestClass, String method, String key, int length) {
        RouterDriver node = one();
        long client = node.client();
        node.handle(
                new Event.RequestReceived(
                        client,
                        new Event.ClientRequest(
                                new RequestFields("id", requestClass, 1000, false, key),
                                method,
                                "/api",
                                new Content(null, new byte[length])),
                        0));
        assertEquals(400, node.status(client));
        node.expectNo(ConnectUpstream.class);
    }

    @Test
    void invalidInputAfterAnInFlightRequest_endsThatRequestAndItsAttempt() {
        RouterDriver node = one();
        long client = node.request("grant");
        Forward forward = node.connectNext();
        node.handle(new Event.InvalidRequest(client, 400, "more"));
        Respond respond = node.expect(Respond.class);
        assertEquals(400, respond.status());
        assertTrue(respond.closeAfter());
        assertEquals(forward.connection(), node.expect(CloseUpstream.class).connection());
        node.answer(forward, 200, false);
        node.expectNo(Respond.class);
    }

    @Test
    void invalidRequests_areReportedAtALimitedRateAndCounted() {
        RouterDriver node = one();
        for (int i = 0; i < 8; i++) {
            node.handle(new Event.InvalidRequest(node.client(), 400, "bad"));
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(0, node.expect(Effect.ReportInvalidRequest.class).suppressed());
        }
        node.expectNo(Effect.ReportInvalidRequest.class);
        node.advanceMs(1000);
        node.handle(new Event.InvalidRequest(node.client(), 400, "bad"));
        assertEquals(3, node.expect(Effect.ReportInvalidRequest.class).suppressed());
    }

    @Test
    void brokenReusedConnection_ejectsNoServerAndABrokenNewOneDoes() {
        RouterDriver node = one();
        node.serve(node.forwardOnNewConnection("grant"));
        Forward reused = node.forwardOnIdleConnection("grant");
        node.written(reused);
        node.handle(new Event.UpstreamClosed(reused.connection(), false));
        Forward fresh = node.forwardOnNewConnection("grant");
        node.written(fresh);
        node.handle(new Event.UpstreamClosed(fresh.connection(), false));
        node.request("grant");
        node.expectNo(ConnectUpstream.class);
    }

    @Test
    void malformedResponse_isNotTreatedAsACrash() {
        RouterDriver node = one();
        long client = node.request("grant");
        Forward forward = node.connectNext();
        node.written(forward);
        node.handle(new Event.UpstreamClosed(forward.connection(), true));
        assertEquals(502, node.status(client));
        // If the node treated the server as crashed, it would eject the server and open no
        // connection.
        node.request("grant");
        node.expect(ConnectUpstream.class);
    }
}
