// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import ottergauge.protocol.Content;
import ottergauge.routing.Effect.Respond;

/** Builds the responses that are written to clients. */
final class ClientResponses {

    private static final double MICROS_PER_SECOND = 1e6;

    private ClientResponses() {}

    /** The interim response that asks the client to send its body. */
    static FullHttpResponse continueResponse() {
        return full(HttpResponseStatus.CONTINUE, Content.NONE);
    }

    /** A complete response; {@code closes} announces that the connection will be closed. */
    static FullHttpResponse complete(Respond effect, boolean closes) {
        Content content = effect.content();
        FullHttpResponse response = full(HttpResponseStatus.valueOf(effect.status()), content);
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.bytes().length);
        if (effect.retryAfterMicros() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds(effect.retryAfterMicros()));
        }
        if (closes) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (content.type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, content.type());
        }
        return response;
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / MICROS_PER_SECOND);
    }

    /** The head of a response whose body is relayed from a server. */
    static HttpResponse head(OutboundConnection.Response relayed, boolean closes) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(relayed.status()));
        HttpHeaders headers = response.headers();
        String type = relayed.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        if (relayed.contentLength() >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, relayed.contentLength());
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (closes) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    private static FullHttpResponse full(HttpResponseStatus status, Content content) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content.bytes()));
    }
}
