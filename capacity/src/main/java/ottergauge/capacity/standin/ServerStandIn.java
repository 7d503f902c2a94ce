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
 * A stand-in for all servers of a fleet. It answers each request immediately, with a load report of
 * an idle server.
 */
public final class ServerStandIn implements AutoCloseable {

    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);
    private static final String IDLE = "TEXT inflight=1, queue=0, util=0.1";

    private final HttpListener listener;

    /** Listens on a free port and answers on this event loop. */
    public ServerStandIn(EventLoop loop) {
        listener = new HttpListener(loop, ServerStandIn::answer);
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void answer(Channel connection, FullHttpRequest request) {
        FullHttpResponse response = HttpListener.response(HttpResponseStatus.OK, BODY);
        response.headers().set(Headers.LOAD, IDLE);
        connection.writeAndFlush(response);
    }

    /** Returns the address on which this stand-in listens. */
    public Address address() {
        return listener.address();
    }

    /** Returns the traffic since this stand-in was created. */
    public Traffic traffic() {
        return listener.traffic();
    }

    @Override
    public void close() {
        listener.close();
    }
}
