// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ProbeLoad;
import ottergauge.routing.Effect.Respond;

/**
 * Tests which outcomes of an attempt prove that its server did not run the request, and whether the
 * node then retries the request.
 */
class AttemptOutcomeTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");
    private static final String TWO = endpointJson("s-2", "10.0.0.2:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    private static RouterDriver two() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE, TWO));
    }

    /** The outcomes in the protocol's table that prove that the server did not run the request. */
    static Stream<Arguments> neverRan() {
        return Stream.of(
                named(
                        "503 marked as never run",
                        (node, forward) -> {
                            node.written(forward);
                            node.answer(forward, 503, true);
                        }),
                named(
                        "504 marked as never run",
                        (node, forward) -> {
                            node.written(forward);
                            node.answer(forward, 504, true);
                        }),
                named(
                        "connection broken before the last byte was written",
                        (node, forward) ->
                                node.handle(
                                        new Event.UpstreamClosed(forward.connection(), false))));
    }

    /** The outcomes after which the server may have run the request. */
    static Stream<Arguments> mayHaveRun() {
        return Stream.of(
                named(
                        "500",
                        (node, forward) -> {
                            node.written(forward);
                            node.answer(forward, 500, false);
                        }),
                named(
                        "503 without the mark",
                        (node, forward) -> {
                            node.written(forward);
                            node.answer(forward, 503, false);
                        }),
                named(
                        "connection broken after the last byte was written",
                        (node, forward) -> {
                            node.written(forward);
                            node.handle(new Event.UpstreamClosed(forward.connection(), false));
                        }),
                named(
                        "no response",
                        (node, forward) -> {
                            node.written(forward);
                            node.advanceMs(1000);
                        }));
    }

    private static Arguments named(String name, BiConsumer<RouterDriver, Forward> outcome) {
        return Arguments.of(Named.of(name, outcome));
    }

    @ParameterizedTest
    @MethodSource("neverRan")
    void nonIdempotentRequestThatNeverRan_isRetried(BiConsumer<RouterDriver, Forward> outcome) {
        RouterDriver node = two();
        long client = node.request("grant");
        outcome.accept(node, node.connectNext());
        node.expectNo(Respond.class);
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
    }

    @ParameterizedTest
    @MethodSource("mayHaveRun")
    void nonIdempotentRequestThatMayHaveRun_isNotRetriedAndFails(
            BiConsumer<RouterDriver, Forward> outcome) {
        RouterDriver node = two();
        long client = node.request("grant");
        outcome.accept(node, node.connectNext());
        node.expectNo(ConnectUpstream.class);
        node.expectNo(Forward.class);
        assertEquals(502, node.status(client));
    }

    @ParameterizedTest
    @MethodSource("mayHaveRun")
    void nonIdempotentRequestThatMayHaveRun_onAReusedConnection_fails(
            BiConsumer<RouterDriver, Forward> outcome) {
        RouterDriver node = one();
        node.request("grant");
        node.serve(node.connectNext());
        node.expect(Respond.class);
        long client = node.request("grant");
        outcome.accept(node, node.expect(Forward.class));
        assertEquals(502, node.status(client));
    }

    @Test
    void refusedConnection_provesThatNothingRan() {
        RouterDriver node = two();
        long client = node.request("grant");
        node.refuseNext();
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
    }

    @Test
    void connectTimeout_provesThatNothingRan() {
        RouterDriver node = one();
        long client = node.request("grant");
        node.expect(ConnectUpstream.class);
        node.advanceMs(1000);
        assertEquals(503, node.status(client));
    }

    @Test
    void responseBeforeTheRequestWasWritten_endsTheConnection() {
        RouterDriver node = one();
        node.request("read");
        node.answer(node.connectNext(), 500, false);
        assertEquals(CloseReason.NOT_REUSABLE, node.expect(CloseUpstream.class).reason());
    }

    @Test
    void unansweredProbe_isAbandoned() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE).probes());
        node.request("read");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.handle(new Event.UpstreamConnected(connect.connection()));
        assertEquals(connect.connection(), node.expect(ProbeLoad.class).connection());
        node.handle(new Event.RequestWritten(connect.connection()));
        node.advanceMs(250);
        assertEquals(
                new CloseUpstream(connect.connection(), CloseReason.TIMED_OUT),
                node.expect(CloseUpstream.class));
    }
}
