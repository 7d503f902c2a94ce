// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static ottergauge.protocol.TestConfig.endpointJson;
import static ottergauge.protocol.TestConfig.requestClass;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Effect.StreamResponse;
import ottergauge.routing.Event.ServerResponse;

/** Tests responses of unknown length from their head on, without sockets. */
class UnsizedResponsesTest {

    private static final int WAIT_MS = 1_000;
    private static final int OBJECTIVE_MS = 800;
    private static final int LONG_WAIT_MS = 3_000;

    private final RouterDriver node = new RouterDriver(twoServers());

    private static TestConfig twoServers() {
        return new TestConfig()
                .withEndpoints(
                        endpointJson("s-1", "10.1.0.1:3000", "in_service"),
                        endpointJson("s-2", "10.1.0.2:3000", "in_service"));
    }

    /** A node whose idempotent class has time for a retry after a second. */
    private static RouterDriver nodeWithLongObjective() {
        return nodeWithLongObjective(twoServers());
    }

    private static RouterDriver nodeWithLongObjective(TestConfig config) {
        return new RouterDriver(
                config.classes(
                        requestClass("read", "free", LONG_WAIT_MS)
                                .replace("\"aimMs\":800.0", "\"aimMs\":2900.0")));
    }

    private static Forward beginResponse(RouterDriver node, Forward forward) {
        node.written(forward);
        node.handle(new Event.UnsizedResponseStarted(forward.connection(), 200, false));
        return forward;
    }

    private static void beginStreaming(RouterDriver node, long connection) {
        node.handle(
                new Event.StreamedResponseStarted(
                        connection,
                        new ServerResponse(200, false, LoadReport.NONE, Content.NONE, false),
                        TimeUnit.MILLISECONDS.toMicros(OBJECTIVE_MS)));
    }

    /** Sends a request whose response stops after its head, until the retry is sent. */
    private static Forward[] beginAndRetry(RouterDriver node) {
        node.request(node.client(), "read", LONG_WAIT_MS);
        Forward first = beginResponse(node, node.connectNext());
        node.advanceMs(1_000);
        Forward retry = node.connectNext();
        node.written(retry);
        assertNotEquals(first.connection(), retry.connection());
        node.expectNo(CloseUpstream.class);
        return new Forward[] {first, retry};
    }

    /**
     * Guards against a response that is cut off although its client would get nothing else: the
     * server goes on after the attempt's timeout.
     */
    @ParameterizedTest
    @ValueSource(strings = {"read", "pay", "grant"})
    void responseThatStopsAfterItsHead_isStreamedWhenItsAttemptTimesOut(String requestClass) {
        Forward forward = beginResponse(node, node.forwardOnNewConnection(requestClass));
        node.advanceMs(OBJECTIVE_MS);
        assertEquals(forward.connection(), node.expect(StreamResponse.class).connection());
        beginStreaming(node, forward.connection());
        assertEquals(forward.connection(), node.expect(RelayResponse.class).connection());
        node.advanceMs(5_000);
        node.handle(new Event.StreamedResponseCompleted(forward.connection(), false));
        node.expectNo(Respond.class);
    }

    /**
     * Guards against a response that is passed on although its server has failed to mark its end,
     * and against a client that waits for that: the final response comes before its deadline.
     */
    @Test
    void responseThatNeverGoesOnAfterItsFirstBytes_failsInTime() {
        long client = node.request("grant");
        Forward forward = beginResponse(node, node.connectNext());
        node.handle(new Event.UnsizedBodyStarted(forward.connection()));
        node.advanceMs(OBJECTIVE_MS + 100);
        node.expectNo(Respond.class);
        node.advanceMs(WAIT_MS - OBJECTIVE_MS - 100);
        assertEquals(502, node.status(client));
        node.expect(CloseUpstream.class);
        node.expectNo(StreamResponse.class);
    }

    /** Guards against a timer of an earlier response on the same connection. */
    @Test
    void laterResponseOnTheConnection_isNotEndedForTheEarlierOne() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")));
        node.letClientsReadAll();
        Forward earlier = beginResponse(node, node.forwardOnNewConnection("grant"));
        node.advanceMs(OBJECTIVE_MS);
        beginStreaming(node, earlier.connection());
        node.handle(new Event.StreamedResponseCompleted(earlier.connection(), true));
        Forward later = beginResponse(node, node.forwardOnIdleConnection("grant"));
        assertEquals(earlier.connection(), later.connection());
        node.handle(new Event.UnsizedResponseProgressed(later.connection()));
        node.advanceMs(OBJECTIVE_MS / 2 - 1);
        beginStreaming(node, later.connection());
        node.advanceMs(WAIT_MS);
        node.expectNo(CloseClient.class);
    }

    /** The same response, which goes on in time: it is streamed. */
    @Test
    void responseThatGoesOnAfterItsFirstBytes_isStreamed() {
        node.request("grant");
        Forward forward = beginResponse(node, node.connectNext());
        node.handle(new Event.UnsizedBodyStarted(forward.connection()));
        node.advanceMs(OBJECTIVE_MS + 100);
        node.expectNo(StreamResponse.class);
        node.handle(new Event.UnsizedResponseProgressed(forward.connection()));
        node.expect(StreamResponse.class);
        beginStreaming(node, forward.connection());
        node.expect(RelayResponse.class);
        node.advanceMs(WAIT_MS);
        node.expectNo(Respond.class);
    }

    /** A response that goes on after the buffering time, but before the timeout, is streamed. */
    @Test
    void responseThatGoesOnLate_isStreamedAtOnce() {
        Forward forward = beginResponse(node, node.forwardOnNewConnection("grant"));
        node.advanceMs(OBJECTIVE_MS - 100);
        node.expectNo(StreamResponse.class);
        node.handle(new Event.UnsizedResponseProgressed(forward.connection()));
        assertEquals(forward.connection(), node.expect(StreamResponse.class).connection());
    }

    /** Guards against a request without a final response: the fallback ends before it is sent. */
    @Test
    void fallbackThatEndsBeforeItIsStreamed_isFollowedByTheFailure() {
        long client = node.request("grant");
        Forward forward = beginResponse(node, node.connectNext());
        node.advanceMs(OBJECTIVE_MS);
        node.expect(StreamResponse.class);
        node.expectNo(Respond.class);
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(502, node.status(client));
    }

    /** A response that was whole just before it would have been streamed is the final one. */
    @Test
    void fallbackThatIsCompleteFirst_isTheResponse() {
        long client = node.request("grant");
        Forward forward = beginResponse(node, node.connectNext());
        node.advanceMs(OBJECTIVE_MS);
        node.answer(forward, 200, false, false);
        assertEquals(200, node.status(client));
    }

    /**
     * Guards against a request that waits for a server which has failed to mark the end of its
     * response: a retry that is allowed has time, and its response is the only one.
     */
    @Test
    void responseThatNeverEnds_leavesTimeForARetry() {
        RouterDriver node = nodeWithLongObjective();
        Forward[] attempts = beginAndRetry(node);
        node.answer(attempts[1], 200, false);
        assertEquals(200, node.expect(Respond.class).status());
        assertEquals(
                new CloseUpstream(attempts[0].connection(), CloseReason.CANCELLED),
                node.expect(CloseUpstream.class));
        node.advanceMs(LONG_WAIT_MS);
        node.expectNo(StreamResponse.class);
        node.expectNo(Respond.class);
    }

    /** Guards against a cancellation by settings that allow none: there is no retry then. */
    @Test
    void responseThatStops_isStreamedWithoutARetry_ifCancellationIsNotAllowed() {
        RouterDriver node = nodeWithLongObjective(twoServers().withoutCancellation());
        node.request(node.client(), "read", LONG_WAIT_MS);
        Forward forward = beginResponse(node, node.connectNext());
        node.advanceMs(1_000);
        assertEquals(forward.connection(), node.expect(StreamResponse.class).connection());
        node.advanceMs(LONG_WAIT_MS - 1_000);
        node.expectNo(ConnectUpstream.class);
        node.expectNo(CloseUpstream.class);
    }

    /** Guards against bytes that are held back for 2 s while a retry gets no response either. */
    @Test
    void fallbackIsStreamed_ifTheRetryGetsNoResponseSoon() {
        RouterDriver node = nodeWithLongObjective();
        Forward[] attempts = beginAndRetry(node);
        node.advanceMs(600);
        assertEquals(attempts[0].connection(), node.expect(StreamResponse.class).connection());
        beginStreaming(node, attempts[0].connection());
        node.expect(RelayResponse.class);
        assertEquals(
                new CloseUpstream(attempts[1].connection(), CloseReason.CANCELLED),
                node.expect(CloseUpstream.class));
        node.expectNo(ConnectUpstream.class);
    }

    /** Guards against two responses: the fallback completes while a retry is outstanding. */
    @Test
    void fallbackThatCompletesDuringTheRetry_endsTheRetry() {
        RouterDriver node = nodeWithLongObjective();
        Forward[] attempts = beginAndRetry(node);
        node.answer(attempts[0], 200, false, false);
        assertEquals(200, node.expect(Respond.class).status());
        node.advanceMs(LONG_WAIT_MS);
        node.expectNo(Respond.class);
        assertEquals(
                1,
                node.all(CloseUpstream.class).stream()
                        .filter(close -> close.connection() == attempts[1].connection())
                        .count());
    }

    /** Guards against connections that stay open for a client that has left. */
    @Test
    void clientThatLeaves_closesTheFallback() {
        RouterDriver node = nodeWithLongObjective();
        long client = node.client();
        node.request(client, "read", LONG_WAIT_MS);
        Forward first = beginResponse(node, node.connectNext());
        node.advanceMs(1_000);
        node.handle(new Event.ClientClosed(client));
        assertEquals(
                new CloseUpstream(first.connection(), CloseReason.CANCELLED),
                node.expect(CloseUpstream.class));
    }

    /** A response that can't be the final one is not waited for beyond its attempt. */
    @Test
    void errorWithoutLength_isNoFallback() {
        long client = node.request("grant");
        Forward forward = node.connectNext();
        node.written(forward);
        node.handle(new Event.UnsizedResponseStarted(forward.connection(), 500, false));
        node.handle(new Event.UnsizedResponseProgressed(forward.connection()));
        node.advanceMs(OBJECTIVE_MS);
        assertEquals(502, node.status(client));
        node.expectNo(StreamResponse.class);
    }

    /** Guards against a request without a final response when the process is about to be killed. */
    @Test
    void fallbackAtTheEndOfAShutdown_isFollowedByAFinalResponse() {
        RouterDriver node = nodeWithLongObjective();
        node.handle(new Event.ShutdownRequested(false));
        node.advanceMs(LONG_WAIT_MS + 100);
        long client = node.client();
        node.request(client, "read", LONG_WAIT_MS);
        beginResponse(node, node.connectNext());
        node.advanceMs(350);
        node.expect(StreamResponse.class);
        node.advanceMs(50);
        assertEquals(502, node.status(client));
    }

    /** Guards against a request without a final response when no more responses are streamed. */
    @Test
    void fallbackThatFindsNoFreeStream_isFollowedByTheFailureInTime() {
        RouterDriver node = new RouterDriver(twoServers(), 2 * 64 * 1024);
        for (int i = 0; i < 2; i++) {
            Forward forward = beginResponse(node, node.forwardOnNewConnection("read"));
            beginStreaming(node, forward.connection());
            node.expect(RelayResponse.class);
        }
        long client = node.client();
        node.request(client, "grant", WAIT_MS);
        beginResponse(node, node.connectNext());
        node.advanceMs(OBJECTIVE_MS);
        assertEquals(502, node.status(client));
    }

    /** The same for a response that goes on while its request waits for it. */
    @Test
    void fallbackThatGoesOnButFindsNoFreeStream_isFollowedByTheFailureInTime() {
        RouterDriver node = new RouterDriver(twoServers(), 2 * 64 * 1024);
        for (int i = 0; i < 2; i++) {
            Forward forward = beginResponse(node, node.forwardOnNewConnection("read"));
            beginStreaming(node, forward.connection());
            node.expect(RelayResponse.class);
        }
        long client = node.client();
        node.request(client, "grant", WAIT_MS);
        Forward forward = beginResponse(node, node.connectNext());
        node.handle(new Event.UnsizedBodyStarted(forward.connection()));
        node.advanceMs(OBJECTIVE_MS + 50);
        node.expectNo(Respond.class);
        node.handle(new Event.UnsizedResponseProgressed(forward.connection()));
        node.advanceMs(WAIT_MS - OBJECTIVE_MS - 50);
        assertEquals(502, node.status(client));
    }
}
