// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Content;
import ottergauge.protocol.RequestFields;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.Respond;

/** Tests the requests and responses that the node forwards. */
class RequestForwardingTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    @Test
    void requestAndResponse_areForwardedUnchanged() {
        RouterDriver node = one();
        long client = node.request("grant");
        Forward forward = node.connectNext();
        assertEquals("/api?x=1", forward.request().uri());
        assertEquals("POST", forward.request().method());
        assertEquals(
                "ask", new String(forward.request().content().bytes(), StandardCharsets.UTF_8));
        assertTrue(
                forward.timeoutMicros() > 0 && forward.timeoutMicros() <= 1_000_000,
                "waits " + forward.timeoutMicros());
        node.serve(forward);
        Respond respond = node.expect(Respond.class);
        assertEquals(client, respond.client());
        assertEquals(200, respond.status());
        assertArrayEquals("answer".getBytes(StandardCharsets.UTF_8), respond.content().bytes());
        assertFalse(respond.closeAfter());
    }

    @Test
    void connection_isReusedUnlessItsServerForbids() {
        RouterDriver node = one();
        node.request("read");
        Forward first = node.connectNext();
        node.serve(first);
        node.request("read");
        Forward second = node.expect(Forward.class);
        assertEquals(first.connection(), second.connection());
        node.written(second);
        node.answer(second, 200, false, false);
        assertEquals(CloseReason.NOT_REUSABLE, node.expect(CloseUpstream.class).reason());
        node.request("read");
        assertNotEquals(first.connection(), node.expect(ConnectUpstream.class).connection());
    }

    @Test
    void idleConnection_isUsedByAnAttemptThatWaitsForANewOne() {
        RouterDriver node = one();
        node.request("read");
        Forward first = node.connectNext();
        node.written(first);
        node.request("read");
        ConnectUpstream slow = node.expect(ConnectUpstream.class);
        node.answer(first, 200, false);
        assertEquals(first.connection(), node.expect(Forward.class).connection());
        node.handle(new Event.UpstreamConnected(slow.connection()));
        node.expectNo(Forward.class);
    }

    @Test
    void connectionInProgress_servesTheNextAttemptThatWaits() {
        RouterDriver node = one();
        long disconnected = node.request("read");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.handle(new Event.ClientClosed(disconnected));
        long client = node.request("read");
        node.expectNo(ConnectUpstream.class);
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.status(client));
    }

    @Test
    void failedConnection_endsNoAttemptThatHasAnotherInProgress() {
        RouterDriver node = one();
        long disconnected = node.request("grant");
        long client = node.request("grant");
        ConnectUpstream first = node.expect(ConnectUpstream.class);
        ConnectUpstream second = node.expect(ConnectUpstream.class);
        node.handle(new Event.ClientClosed(disconnected));
        node.handle(new Event.UpstreamConnectFailed(first.connection()));
        node.expectNo(Respond.class);
        node.handle(new Event.UpstreamConnected(second.connection()));
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.status(client));
    }

    @Test
    void deadline_startsAtTheLastByteAndDefaultsToThatOfTheClass() {
        RouterDriver node = one();
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.advanceMs(300);
        node.request(client, "read", -1);
        assertEquals(1_000_000, (float) forwardedTimeout(node, 1_000_000), 300_000);
        RouterDriver other = new RouterDriver(new TestConfig());
        long late = other.client();
        other.handle(new Event.RequestHeadReceived(late));
        other.advanceMs(300);
        other.handle(
                new Event.RequestReceived(
                        late,
                        new Event.ClientRequest(
                                new RequestFields("id", "read", 200, false, null),
                                "GET",
                                "/api",
                                Content.NONE),
                        0));
        // The request took 300 ms to arrive, longer than its timeout of 200 ms, which starts only
        // now.
        other.expectNo(Respond.class);
        other.advanceMs(200);
        assertEquals(503, other.status(late));
    }

    /**
     * Guards against giving requests too much time: a node that was suspended reads a request later
     * than it arrived, and must subtract that time from the timeout.
     */
    @Test
    void requestThatIsReadLate_hasLessTimeLeft() {
        RouterDriver node = one();
        long expired = node.client();
        node.handle(
                new Event.RequestReceived(
                        expired, RouterDriver.clientRequest("grant", "over", 300), 400_000));
        assertEquals(503, node.status(expired));
        node.expectNo(ConnectUpstream.class);
        long late = node.client();
        node.handle(
                new Event.RequestReceived(
                        late, RouterDriver.clientRequest("read", "late", 1000), 400_000));
        node.connectNext();
        node.advanceMs(600);
        assertEquals(503, node.status(late));
    }

    private static long forwardedTimeout(RouterDriver node, long max) {
        Forward forward = node.connectNext();
        assertTrue(forward.timeoutMicros() <= max, "waits " + forward.timeoutMicros());
        return forward.timeoutMicros();
    }
}
