// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.ForwardStream;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event.ServerResponse;

/** Bodies that flow, with no socket. */
class StreamingTest {

    private final RouterDriver node =
            new RouterDriver(
                    new TestConfig()
                            .withEndpoints(
                                    endpointJson("s-1", "10.1.0.1:3000", "in_service"),
                                    endpointJson("s-2", "10.1.0.2:3000", "in_service")));
    private int lastId;

    private long flows(String requestClass, long expiresInMs) {
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.handle(
                new Event.StreamedRequestStarted(
                        client,
                        RouterDriver.clientRequest(requestClass, "flow-" + ++lastId, expiresInMs)));
        return client;
    }

    private ForwardStream connected() {
        node.handle(new Event.UpstreamConnected(node.expect(ConnectUpstream.class).connection()));
        return node.expect(ForwardStream.class);
    }

    private static Event answerFlows(long connection) {
        return new Event.StreamedResponseStarted(
                connection,
                new ServerResponse(200, false, LoadReport.NONE, Content.NONE, false),
                0);
    }

    /**
     * Before its last byte is written nothing can have run, and there is nothing left to send
     * again.
     */
    @ParameterizedTest
    @CsvSource({"grant,false,503", "pay,false,503", "grant,true,502", "pay,true,502"})
    void brokenStream_isJudgedByWhetherTheLastByteWasWritten(
            String requestClass, boolean whole, int status) {
        long client = flows(requestClass, 1000);
        ForwardStream forward = connected();
        assertEquals(client, forward.client());
        if (whole) {
            node.handle(new Event.StreamedRequestCompleted(client));
            node.handle(new Event.RequestWritten(forward.connection()));
        }
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(status, node.status(client));
        node.expectNo(ConnectUpstream.class);
    }

    /** Until a server has a byte of it, a request that flows goes elsewhere like any other. */
    @Test
    void refusedConnection_losesNothing() {
        flows("grant", 1000);
        node.refuseNext();
        connected();
    }

    /**
     * Its time runs from its last byte: counted from the first, all that comes slowly is given up.
     */
    @Test
    void timeout_runsFromTheLastByte() {
        long client = flows("grant", 900);
        ForwardStream forward = connected();
        for (int i = 0; i < 50; i++) {
            node.handle(new Event.BodyProgress(client, 64_000));
            node.advanceMs(100);
        }
        node.expectNo(Respond.class);
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.StreamedRequestCompleted(client));
        node.handle(new Event.RequestWritten(forward.connection()));
        node.advanceMs(500);
        node.expectNo(Respond.class);
        node.advanceMs(500);
        assertEquals(502, node.status(client));
    }

    /** What trickles or stands still ends, and gives back the server's connection. */
    @ParameterizedTest
    @CsvSource({"0,2900", "100,4000"})
    void stalledBody_isClosed(long bytes, long within) {
        long client = flows("grant", 900);
        ForwardStream forward = connected();
        for (int passed = 0; passed < within; passed += 100) {
            if (bytes > 0) {
                node.handle(new Event.BodyProgress(client, bytes));
            }
            node.advanceMs(100);
        }
        CloseClient closed = node.expect(CloseClient.class);
        assertEquals(new CloseClient(client, CloseReason.SLOW_REQUEST), closed);
        node.handle(new Event.ClientClosed(client));
        assertEquals(forward.connection(), node.expect(CloseUpstream.class).connection());
    }

    /**
     * Begun, an answer is its client's: no deadline cuts it, and the connection is kept after it.
     */
    @Test
    void streamedResponse_isCutByNoDeadline() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")));
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(answerFlows(forward.connection()));
        RelayResponse passes = node.expect(RelayResponse.class);
        for (int i = 0; i < 100; i++) {
            node.handle(new Event.BodyProgress(passes.client(), 6_000));
            node.advanceMs(100);
        }
        node.expectNo(CloseClient.class);
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.StreamedResponseCompleted(forward.connection(), true));
        node.handle(new Event.ResponseWritten(passes.client()));
        node.forwardOnIdleConnection("grant");
    }

    @Test
    void responseTruncatedByItsServer_isTruncatedForItsClient() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(answerFlows(forward.connection()));
        long client = node.expect(RelayResponse.class).client();
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(
                new CloseClient(client, CloseReason.CUT_SHORT), node.expect(CloseClient.class));
        node.expectNo(Respond.class);
    }

    @Test
    void streamedResponseWhoseClientHasGone_isClosedAtTheServer() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(answerFlows(forward.connection()));
        node.handle(new Event.ClientClosed(node.expect(RelayResponse.class).client()));
        assertEquals(
                new CloseUpstream(forward.connection(), CloseReason.CLIENT_GONE),
                node.expect(CloseUpstream.class));
    }

    /**
     * An answer that does not tell its length flows before its time is up: its first bytes are in
     * time.
     */
    @Test
    void unsizedResponse_isStreamedBeforeItsTimeout() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.advanceMs(200);
        node.handle(new Event.UnsizedResponseStarted(forward.connection()));
        node.expectNo(Effect.StreamResponse.class);
        node.advanceMs(400);
        assertEquals(forward.connection(), node.expect(Effect.StreamResponse.class).connection());
    }

    /**
     * All flows together are bounded by the memory that there is; what is over that is refused at
     * once.
     */
    @Test
    void streamedRequests_areBounded() {
        int taken = 0;
        boolean refused = false;
        while (!refused && taken < 10_000) {
            long client = flows("grant", 900);
            taken++;
            refused = node.has(Respond.class);
            if (!refused) {
                connected();
                node.handle(new Event.BodyProgress(client, 64_000));
            }
        }
        assertTrue(taken > 100 && taken <= 192 * 2, "taken: " + taken);
    }
}
