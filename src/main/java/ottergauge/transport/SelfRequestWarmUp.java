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
 * Warms up the socket path before the node serves clients: the node sends requests to itself over
 * real sockets, so that it is both ends of each connection. {@link JitWarmUp} covers the remaining
 * code, in memory.
 */
final class SelfRequestWarmUp {

    /** How available the node is while it warms up, which limits the number of requests. */
    enum Situation {
        /** The node has no admin address, so that it is unavailable meanwhile. */
        NO_ADMIN_ADDRESS(100),
        /** Another process of the node serves clients and shares the CPU. */
        OTHER_PROCESS_SERVES(100),
        /** The node starts alone and responds on its admin address. */
        ALONE(400);

        private final int maxRequests;

        Situation(int maxRequests) {
            this.maxRequests = maxRequests;
        }
    }

    /**
     * The limit for all nodes together. In a large fleet, each node serves a small part of the
     * clients' requests, so that a node that is not warmed up slows down few of them.
     */
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
     * Sends requests until the number or the time limit is reached.
     *
     * @param nodes the number of all nodes
     * @return the number of requests, whether successful or not
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
