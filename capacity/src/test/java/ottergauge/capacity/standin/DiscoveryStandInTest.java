// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.ProtocolException;

class DiscoveryStandInTest {

    private static final long TIMEOUT_S = 20;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DiscoveryStandIn discovery =
            new DiscoveryStandIn(loops.next(), Fleet.generate(20, 3, Loopback.UNUSED));
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @AfterEach
    void close() {
        discovery.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private HttpRequest request(String query) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + discovery.address() + "/registry/instances" + query))
                .build();
    }

    private EndpointList poll(String query)
            throws IOException, InterruptedException, ProtocolException {
        return EndpointList.read(client.send(request(query), BodyHandlers.ofByteArray()).body());
    }

    @Test
    void pollWithoutAVersionGetsTheFullList() throws Exception {
        EndpointList list = poll("");
        assertTrue(list.complete());
        assertEquals(20, list.endpoints().size());
        assertEquals(-1, discovery.lastPolledVersion());
    }

    @Test
    void heldPollGetsTheNextChange() throws Exception {
        CompletableFuture<HttpResponse<byte[]>> heldPoll =
                client.sendAsync(request("?after=1&wait_ms=60000"), BodyHandlers.ofByteArray());
        while (discovery.traffic().calls() == 0) {
            Thread.onSpinWait();
        }
        assertFalse(heldPoll.isDone());
        discovery.makeChange();
        EndpointList change = EndpointList.read(heldPoll.get(TIMEOUT_S, TimeUnit.SECONDS).body());
        assertFalse(change.complete());
        assertEquals(2, change.version());
        assertEquals(1, change.endpoints().size());
    }

    @Test
    void missedChangesAreSentOncePerServer() throws Exception {
        discovery.makeChange();
        discovery.makeChange();
        discovery.makeChange();
        EndpointList missed = poll("?after=1&wait_ms=0");
        assertEquals(4, missed.version());
        assertFalse(missed.complete());
        // The first server drained and returned to service; the second one drains.
        assertEquals(2, missed.endpoints().size());
    }

    @Test
    void pollWithAnUnknownVersionGetsTheFullList() throws Exception {
        assertTrue(poll("?after=77&wait_ms=0").complete());
    }

    @Test
    void pollWhoseWaitTimeIsOverGetsAnEmptyUpdate() throws Exception {
        EndpointList nothing = poll("?after=1&wait_ms=1");
        assertEquals(1, nothing.version());
        assertFalse(nothing.complete());
        assertTrue(nothing.endpoints().isEmpty());
    }

    @Test
    void trafficCountsRequestsAndBytesWithHttpHeaders() throws Exception {
        int body = client.send(request(""), BodyHandlers.ofByteArray()).body().length;
        Traffic traffic = discovery.traffic();
        assertEquals(1, traffic.calls());
        assertTrue(
                traffic.sentBytes() > body,
                "sent " + traffic.sentBytes() + " with a body of " + body);
        assertTrue(traffic.receivedBytes() > "GET /registry/instances HTTP/1.1\r\n\r\n".length());
    }
}
