// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import ottergauge.protocol.Headers;
import ottergauge.protocol.Paths;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.Event.ClientRequest;

/** Builds the requests that are written to servers. */
final class UpstreamRequests {

    private UpstreamRequests() {}

    /** A complete request; {@code timeoutMs} is how long the node waits for the response. */
    static FullHttpRequest complete(ClientRequest request, long timeoutMs, String host) {
        byte[] body = request.content().bytes();
        HttpMethod method = HttpMethod.valueOf(request.method());
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, request.uri(), Unpooled.wrappedBuffer(body));
        setFields(message.headers(), request, timeoutMs);
        if (body.length > 0 || !HttpMethod.GET.equals(method)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        message.headers().set(HttpHeaderNames.HOST, host);
        return message;
    }

    /** The head of a streamed request; a negative length means that it is unknown. */
    static HttpRequest head(
            ClientRequest request, long timeoutMs, String host, long contentLength) {
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.uri());
        setFields(head.headers(), request, timeoutMs);
        head.headers().set(HttpHeaderNames.HOST, host);
        if (contentLength >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }

    private static void setFields(HttpHeaders headers, ClientRequest request, long timeoutMs) {
        RequestFields fields = request.fields();
        headers.set(Headers.TRACE_ID, fields.traceId())
                .set(Headers.REQUEST_CLASS, fields.requestClass())
                .set(Headers.EXPIRES_IN_MS, Long.toString(timeoutMs));
        if (fields.idempotencyKey() != null) {
            headers.set(Headers.IDEMPOTENCY_KEY, fields.idempotencyKey());
        }
        if (request.content().type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, request.content().type());
        }
    }

    /** A load probe: asks a server for its load report. */
    static FullHttpRequest loadProbe(String host) {
        FullHttpRequest probe =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Paths.STATS);
        probe.headers().set(HttpHeaderNames.HOST, host);
        return probe;
    }
}
