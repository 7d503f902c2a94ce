// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import ottergauge.protocol.Address;
import ottergauge.protocol.Headers;

/**
 * Stands in for all servers of a fleet: answers each request at once and reports that it is idle.
 */
public final class ServerStandIn implements AutoCloseable {

    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);
    private static final String IDLE = "TEXT inflight=1, queue=0, util=0.1";

    private final HttpListener listener;

    /** Listens on a free port; answers are given on this loop. */
    public ServerStandIn(EventLoop loop) {
        listener = new HttpListener(loop, ServerStandIn::answer);
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void answer(Channel connection, FullHttpRequest request) {
        FullHttpResponse response = HttpListener.response(HttpResponseStatus.OK, BODY);
        response.headers().set(Headers.LOAD, IDLE);
        connection.writeAndFlush(response);
    }

    /** Where it listens. */
    public Address address() {
        return listener.address();
    }

    /** What it was asked so far. */
    public Traffic traffic() {
        return listener.traffic();
    }

    @Override
    public void close() {
        listener.close();
    }
}
