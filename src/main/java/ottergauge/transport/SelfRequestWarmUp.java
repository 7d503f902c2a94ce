// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetClient;
import java.util.concurrent.TimeUnit;
import ottergauge.protocol.Address;
import ottergauge.routing.CloseReason;

/**
 * Warms up the socket path before the node serves clients: it sends requests to itself, both ends
 * of each connection on real sockets. {@link JitWarmUp} covers the rest, in memory.
 */
final class SelfRequestWarmUp {

    /** What the node does without while it warms up, which decides how long that may take. */
    enum Situation {
        /** It has no other address than the clients', so that it is away meanwhile. */
        AWAY(100),
        /** Another process of the node serves, whose CPU it shares. */
        BESIDE_ANOTHER_PROCESS(100),
        /** It starts alone, and answers on its management address. */
        ALONE(400);

        private final int maxRequests;

        Situation(int maxRequests) {
            this.maxRequests = maxRequests;
        }
    }

    /** Of all nodes together: of many nodes each counts for little. */
    private static final int MAX_REQUESTS_OF_ALL_NODES = 1_200;

    private static final int CONCURRENT_REQUESTS = 8;
    private static final long MAX_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 1 << 10;

    private final NetClient client;
    private final Address ownAddress;
    private final String path;
    private final int maxRequests;
    private final Promise<Integer> done = Promise.promise();
    private final long startedAt = System.nanoTime();
    private int begun;
    private int ended;
    private int open;

    private SelfRequestWarmUp(NetClient client, Address ownAddress, String path, int maxRequests) {
        this.client = client;
        this.ownAddress = ownAddress;
        this.path = path;
        this.maxRequests = maxRequests;
    }

    /**
     * Sends requests until there are enough or their time is over.
     *
     * @param nodes the number of all nodes
     * @return the number of requests, whatever became of them
     */
    static Future<Integer> run(
            NetClient client, Address ownAddress, String path, int nodes, Situation situation) {
        int maxRequests = Math.min(situation.maxRequests, MAX_REQUESTS_OF_ALL_NODES / nodes);
        SelfRequestWarmUp warmUp = new SelfRequestWarmUp(client, ownAddress, path, maxRequests);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            warmUp.next();
        }
        return warmUp.done.future();
    }

    private void next() {
        if (begun < maxRequests && System.nanoTime() - startedAt < MAX_DURATION_NANOS) {
            begun++;
            open++;
            OutboundConnection.connect(
                            client,
                            ConnectionLog.SELF,
                            ownAddress,
                            CONNECT_TIMEOUT_MS,
                            MAX_RESPONSE_BYTES)
                    .onComplete(this::send, failure -> connectionEnded());
        } else if (open == 0) {
            done.tryComplete(ended);
        }
    }

    private void send(OutboundConnection connection) {
        connection.onEnd(reason -> connectionEnded());
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, connection.address());
        connection.send(request, () -> {}, response -> connection.close(CloseReason.NOT_REUSABLE));
    }

    private void connectionEnded() {
        open--;
        ended++;
        next();
    }
}
