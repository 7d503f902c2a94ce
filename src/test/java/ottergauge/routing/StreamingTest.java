// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
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

/** Tests streamed request and response bodies, without sockets. */
class StreamingTest {

    private final RouterDriver node =
            new RouterDriver(
                    new TestConfig()
                            .withEndpoints(
                                    endpointJson("s-1", "10.1.0.1:3000", "in_service"),
                                    endpointJson("s-2", "10.1.0.2:3000", "in_service")));
    private int lastId;

    private long startStreamedRequest(String requestClass, long expiresInMs) {
        return startStreamedRequest(node, requestClass, expiresInMs);
    }

    private long startStreamedRequest(RouterDriver node, String requestClass, long expiresInMs) {
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.handle(
                new Event.StreamedRequestStarted(
                        client,
                        RouterDriver.clientRequest(requestClass, "flow-" + ++lastId, expiresInMs)));
        return client;
    }

    private ForwardStream establishConnection() {
        node.handle(new Event.UpstreamConnected(node.expect(ConnectUpstream.class).connection()));
        return node.expect(ForwardStream.class);
    }

    private static Event streamedResponseStarted(long connection) {
        return new Event.StreamedResponseStarted(
                connection,
                new ServerResponse(200, false, LoadReport.NONE, Content.NONE, false),
                0);
    }

    /**
     * The node does not keep a streamed body, so it can't send the request again. If the connection
     * breaks before the last byte is written, the server can't have run the request and the node
     * rejects it with 503. If the connection breaks later, the node responds with 502.
     */
    @ParameterizedTest
    @CsvSource({"grant,false,503", "pay,false,503", "grant,true,502", "pay,true,502"})
    void brokenStream_isRejectedBeforeItsLastByteIsWrittenAndFailsAfterwards(
            String requestClass, boolean complete, int status) {
        long client = startStreamedRequest(requestClass, 1000);
        ForwardStream forward = establishConnection();
        assertEquals(client, forward.client());
        if (complete) {
            node.handle(new Event.StreamedRequestCompleted(client));
            node.handle(new Event.RequestWritten(forward.connection()));
        }
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(status, node.status(client));
        node.expectNo(ConnectUpstream.class);
    }

    /**
     * The node retries a streamed request like any other until it has written the first byte to a
     * server.
     */
    @Test
    void refusedConnection_isFollowedByAnotherAttempt() {
        startStreamedRequest("grant", 1000);
        node.refuseNext();
        establishConnection();
    }

    /**
     * Guards against an attempt for a client that has left: its disconnection is behind more bytes
     * than the node can read before it has a server. If the node has not read the client for over
     * 0.1 s, the request is rejected, otherwise it is sent.
     */
    @ParameterizedTest
    @CsvSource({"101,true", "99,false"})
    void clientThatIsNotReadForTooLong_isRejectedInsteadOfSent(long unreadMs, boolean rejected) {
        node.leaveUnreadBacklog();
        long client = startStreamedRequest("grant", 1000);
        node.handle(new Event.RequestBodyFlowChanged(client, true));
        long connection = node.expect(ConnectUpstream.class).connection();
        node.advanceMs(unreadMs);
        node.handle(new Event.UpstreamConnected(connection));
        assertEquals(!rejected, node.has(ForwardStream.class));
        assertEquals(rejected, node.has(Respond.class));
        if (rejected) {
            Respond respond = node.expect(Respond.class);
            assertEquals(503, respond.status());
            assertTrue(respond.retryAfterMicros() > 0);
        }
    }

    /**
     * Guards against an attempt that is sent on the confirmation meant for the attempt before it on
     * the same connection: its own client would not be read before.
     */
    @Test
    void attemptWaitsForItsOwnConfirmation() {
        RouterDriver oneServer =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")));
        long left = startStreamedRequest(oneServer, "grant", 1000);
        long connection = oneServer.expect(ConnectUpstream.class).connection();
        oneServer.holdPendingReads();
        oneServer.handle(new Event.UpstreamConnected(connection));
        Effect.ReadPendingInput first = oneServer.firstPendingRead();
        startStreamedRequest(oneServer, "grant", 1000);
        oneServer.handle(new Event.ClientClosed(left));
        oneServer.handle(new Event.PendingInputRead(first.connection(), first.attempt(), true));
        oneServer.expectNo(ForwardStream.class);
        oneServer.releasePendingReads();
        assertEquals(connection, oneServer.expect(ForwardStream.class).connection());
    }

    /**
     * Guards against an attempt without end: a client breaks off its upload where the settings do
     * not allow cancellation. The server lacks the last byte and waits for it in vain.
     */
    @Test
    void uploadThatIsBrokenOff_endsItsAttemptWithoutCancellation() {
        RouterDriver noCancellation =
                new RouterDriver(
                        new TestConfig()
                                .withoutCancellation()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")));
        long client = startStreamedRequest(noCancellation, "grant", 1000);
        long connection = noCancellation.expect(ConnectUpstream.class).connection();
        noCancellation.handle(new Event.UpstreamConnected(connection));
        noCancellation.handle(new Event.ClientClosed(client));
        assertEquals(connection, noCancellation.expect(CloseUpstream.class).connection());
    }

    /**
     * Guards against a second execution of a request whose long response is still being relayed,
     * for longer than ended requests are remembered.
     */
    @Test
    void traceIdOfARequestWhoseResponseIsRelayed_isNotAcceptedAgain() {
        long client = startStreamedRequest("grant", 1000);
        ForwardStream forward = establishConnection();
        node.handle(new Event.StreamedRequestCompleted(client));
        node.handle(new Event.RequestWritten(forward.connection()));
        node.handle(streamedResponseStarted(forward.connection()));
        node.expect(RelayResponse.class);
        for (int seconds = 0; seconds < 15; seconds++) {
            node.handle(new Event.BodyProgress(client, 64_000));
            node.advanceMs(1_000);
        }
        long other = node.client();
        node.handle(
                new Event.RequestReceived(
                        other, RouterDriver.clientRequest("grant", "flow-" + lastId, 1000), 0));
        assertEquals(409, node.status(other));
    }

    /**
     * The timeout of a streamed request starts at its last byte. If it started at the first byte,
     * every slow upload would time out.
     */
    @Test
    void timeout_startsAtTheLastByte() {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
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

    /**
     * If a client sends a body too slowly or stops sending it, the node closes the client's
     * connection and then the connection to the server.
     */
    @ParameterizedTest
    @CsvSource({"0,2900", "100,4000"})
    void stalledBody_isClosed(long bytes, long within) {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
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
     * Guards against a response that answers another request: a second copy of the server's last
     * response may arrive while a body is on its way. The server lacks the last byte and can't have
     * run the request.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseBeforeTheLastByteIsWritten_isNotRelayed(boolean streamed) {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
        node.handle(
                streamed
                        ? streamedResponseStarted(forward.connection())
                        : new Event.ResponseReceived(
                                forward.connection(),
                                new ServerResponse(
                                        200, false, LoadReport.NONE, Content.NONE, true)));
        assertEquals(503, node.status(client));
        assertEquals(forward.connection(), node.expect(CloseUpstream.class).connection());
        node.expectNo(RelayResponse.class);
    }

    /** The node stops reading a request's body, or reads on. */
    private void setBlocked(long client, boolean blocked) {
        node.handle(new Event.RequestBodyFlowChanged(client, blocked));
    }

    /**
     * Guards against a client that gets no response: it may have written the last byte when its
     * server stops accepting the body. The server can't have run the request, so that it is
     * rejected once the client has waited for as long as it said.
     */
    @Test
    void bodyThatItsServerDoesNotAccept_isRejectedInTime() {
        long client = startStreamedRequest("grant", 900);
        setBlocked(client, true);
        ForwardStream forward = establishConnection();
        setBlocked(client, false);
        node.handle(new Event.BodyProgress(client, 64_000));
        node.advanceMs(500);
        setBlocked(client, true);
        node.advanceMs(800);
        node.expectNo(Respond.class);
        node.advanceMs(200);
        assertEquals(503, node.status(client));
        assertEquals(
                new CloseUpstream(forward.connection(), CloseReason.TIMED_OUT),
                node.expect(CloseUpstream.class));
        node.expectNo(CloseClient.class);
    }

    /** The same if the server accepts nothing from the start. */
    @Test
    void bodyThatItsServerNeverAccepts_isRejectedInTime() {
        long client = startStreamedRequest("grant", 900);
        setBlocked(client, true);
        establishConnection();
        node.advanceMs(1_000);
        assertEquals(503, node.status(client));
    }

    /**
     * The same if the node has read the body to its end, but its server does not accept the end.
     */
    @Test
    void lastPartThatItsServerDoesNotAccept_isRejectedInTime() {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
        node.advanceMs(300);
        node.handle(new Event.StreamedRequestCompleted(client));
        node.advanceMs(800);
        node.expectNo(Respond.class);
        node.advanceMs(200);
        assertEquals(503, node.status(client));
        assertEquals(forward.connection(), node.expect(CloseUpstream.class).connection());
    }

    /** A server that pauses for less than the client waits gets the body to its end. */
    @Test
    void bodyThatIsBlockedTimeAndAgain_isForwarded() {
        long client = startStreamedRequest("grant", 900);
        establishConnection();
        for (int i = 0; i < 20; i++) {
            setBlocked(client, true);
            node.advanceMs(700);
            setBlocked(client, false);
            node.handle(new Event.BodyProgress(client, 32_000));
            node.advanceMs(1_200);
        }
        node.expectNo(Respond.class);
        node.expectNo(CloseClient.class);
        node.expectNo(CloseUpstream.class);
    }

    /**
     * Guards against a response that comes seconds late: a server accepts a body slowly without
     * ever stopping for long, while the client has written the last byte long ago.
     */
    @Test
    void bodyThatIsNeverCaughtUpWith_isRejectedInTime() {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
        long begin = node.nowMs();
        while (!node.has(Respond.class) && node.nowMs() < begin + 3_000) {
            setBlocked(client, true);
            node.advanceMs(80);
            setBlocked(client, false);
            node.handle(new Event.BodyProgress(client, 100_000));
            node.advanceMs(20);
        }
        assertEquals(503, node.status(client));
        assertTrue(node.nowMs() - begin < 900 + 500, "after " + (node.nowMs() - begin) + " ms");
        assertEquals(forward.connection(), node.expect(CloseUpstream.class).connection());
    }

    /**
     * Guards against a rejection of a long body that a fast server never quite keeps up with: more
     * is read within the client's time than the operating systems can hold unread.
     */
    @Test
    void bodyOfWhichMoreIsReadThanCanBeHeldUnread_isForwarded() {
        long client = startStreamedRequest("grant", 900);
        ForwardStream forward = establishConnection();
        for (int i = 0; i < 40; i++) {
            setBlocked(client, true);
            node.advanceMs(80);
            setBlocked(client, false);
            node.handle(new Event.BodyProgress(client, 1_000_000));
            node.advanceMs(20);
        }
        node.expectNo(Respond.class);
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.StreamedRequestCompleted(client));
        node.handle(new Event.RequestWritten(forward.connection()));
        node.advanceMs(200);
        node.expectNo(Respond.class);
        node.advanceMs(700);
        assertEquals(502, node.status(client));
    }

    /**
     * Guards against a response that comes late by the time for which its request waited: the
     * client may have written all of the body when the node stopped reading it.
     */
    @Test
    void bodyThatIsReadToItsEndAfterAWait_hasTheTimeSinceTheWaitBegan() {
        long client = startStreamedRequest("grant", 900);
        setBlocked(client, true);
        node.advanceMs(150);
        ForwardStream forward = establishConnection();
        setBlocked(client, false);
        node.handle(new Event.StreamedRequestCompleted(client));
        node.handle(new Event.RequestWritten(forward.connection()));
        node.advanceMs(749);
        node.expectNo(Respond.class);
        node.advanceMs(2);
        assertEquals(502, node.status(client));
    }

    /**
     * A client may pause for two seconds while it is read; the time in which it is not read is
     * extra.
     */
    @Test
    void timeInWhichABodyIsBlocked_doesNotCountAgainstItsClient() {
        long client = startStreamedRequest("grant", 900);
        establishConnection();
        node.handle(new Event.BodyProgress(client, 64_000));
        node.advanceMs(1_000);
        setBlocked(client, true);
        node.advanceMs(700);
        setBlocked(client, false);
        node.advanceMs(800);
        node.expectNo(CloseClient.class);
        node.advanceMs(1_500);
        assertEquals(
                new CloseClient(client, CloseReason.SLOW_REQUEST), node.expect(CloseClient.class));
    }

    /** Guards against taking a client for stalled while its request waits for a server. */
    @Test
    void bodyThatWaitsForAServer_isNotClosed() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .classes(
                                        TestConfig.requestClass("slow", "single_shot", 5_000)
                                                .replace("\"aimMs\":800.0", "\"aimMs\":5000.0")));
        long client = startStreamedRequest(node, "slow", 5_000);
        node.handle(new Event.RequestBodyFlowChanged(client, true));
        node.advanceMs(4_500);
        node.expectNo(CloseClient.class);
        node.expectNo(Respond.class);
        node.advanceMs(1_000);
        assertEquals(503, node.status(client));
    }

    /**
     * Guards against truncated responses: once the node relays a response to the client, no
     * deadline ends it. The node reuses the connection to the server afterwards.
     */
    @Test
    void streamedResponse_isNotEndedByADeadline() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")));
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(streamedResponseStarted(forward.connection()));
        RelayResponse relay = node.expect(RelayResponse.class);
        for (int i = 0; i < 100; i++) {
            node.handle(new Event.BodyProgress(relay.client(), 6_000));
            node.advanceMs(100);
        }
        node.expectNo(CloseClient.class);
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.StreamedResponseCompleted(forward.connection(), true));
        node.handle(new Event.ResponseWritten(relay.client()));
        node.forwardOnIdleConnection("grant");
    }

    @Test
    void responseTruncatedByItsServer_isTruncatedForItsClient() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(streamedResponseStarted(forward.connection()));
        long client = node.expect(RelayResponse.class).client();
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(
                new CloseClient(client, CloseReason.CUT_SHORT), node.expect(CloseClient.class));
        node.expectNo(Respond.class);
    }

    @Test
    void streamedResponseOfADisconnectedClient_closesTheServersConnection() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(streamedResponseStarted(forward.connection()));
        node.handle(new Event.ClientClosed(node.expect(RelayResponse.class).client()));
        assertEquals(
                new CloseUpstream(forward.connection(), CloseReason.CLIENT_GONE),
                node.expect(CloseUpstream.class));
    }

    /** Begins to relay a response; returns the connection to its server. */
    private long relayResponse() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.handle(streamedResponseStarted(forward.connection()));
        node.expect(RelayResponse.class);
        return forward.connection();
    }

    /** A client that does not read a response that its server gives is disconnected. */
    @Test
    void relayWhoseClientDoesNotRead_isClosedAsASlowAnswer() {
        relayResponse();
        node.advanceMs(9_000);
        node.expectNo(CloseClient.class);
        node.advanceMs(1_500);
        assertEquals(CloseReason.SLOW_ANSWER, node.expect(CloseClient.class).reason());
    }

    /**
     * Guards against a response that is cut off because its server pauses, while its client has
     * read everything: the client's time does not run meanwhile. A server that stays silent does
     * not keep its stream for ever, and the client can tell that the response is not whole.
     */
    @Test
    void relayWhoseServerPauses_lastsUntilTheServerIsSilentForTooLong() {
        node.letClientsReadAll();
        long connection = relayResponse();
        node.advanceMs(25_000);
        node.handle(new Event.BodyProgress(1, 1_000));
        node.advanceMs(29_000);
        node.expectNo(CloseClient.class);
        node.expectNo(CloseUpstream.class);
        node.advanceMs(1_500);
        assertEquals(
                new CloseUpstream(connection, CloseReason.SERVER_SILENT),
                node.expect(CloseUpstream.class));
        assertEquals(CloseReason.SERVER_SILENT, node.expect(CloseClient.class).reason());
    }

    /**
     * Guards against a timeout of a response without a length: the node buffers the response at
     * first, and starts to stream it before the request's timeout.
     */
    @Test
    void unsizedResponse_isStreamedBeforeItsTimeout() {
        Effect.Forward forward = node.forwardOnNewConnection("grant");
        node.written(forward);
        node.advanceMs(200);
        node.handle(new Event.UnsizedResponseStarted(forward.connection(), 200, false));
        node.handle(new Event.UnsizedResponseProgressed(forward.connection()));
        node.expectNo(Effect.StreamResponse.class);
        node.advanceMs(400);
        assertEquals(forward.connection(), node.expect(Effect.StreamResponse.class).connection());
    }

    /**
     * Guards against running out of memory: the memory limit bounds the number of streamed
     * requests, and the node rejects further ones at once.
     */
    @Test
    void streamedRequests_areBounded() {
        int started = 0;
        boolean rejected = false;
        while (!rejected && started < 10_000) {
            long client = startStreamedRequest("grant", 900);
            started++;
            rejected = node.has(Respond.class);
            if (!rejected) {
                establishConnection();
                node.handle(new Event.BodyProgress(client, 64_000));
            }
        }
        assertTrue(started > 100 && started <= 192 * 2, "started: " + started);
    }

    /**
     * Guards against a node that admits more streams by its memory limit than its process has
     * memory for I/O buffers: an allocation that finds none blocks the event loop.
     */
    @Test
    void streamedBodies_areBoundedByTheProcessesIoMemory() {
        int bytesPerStream = 64 * 1024;
        int ioMemoryBytes = 4 * 1024 * 1024;
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(endpointJson("s-1", "10.1.0.1:3000", "in_service")),
                        ioMemoryBytes);
        int admitted = 0;
        startStreamedRequest(node, "grant", 900);
        while (!node.has(Respond.class)) {
            admitted++;
            node.handle(
                    new Event.UpstreamConnected(node.expect(ConnectUpstream.class).connection()));
            startStreamedRequest(node, "grant", 900);
        }
        assertTrue(
                admitted > 10 && admitted * bytesPerStream < ioMemoryBytes * 3 / 4,
                "admitted: " + admitted);
    }
}
