// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * How messages are told apart on a connection. Netty's decoders repair what can be read in two
 * ways; a server behind may read it in the other one and find a request inside a body. Here such a
 * message is no message.
 */
final class HttpFraming {

    // A part as large as one read, so that a large body is not cut smaller than it came.
    private static final int MOST_PART = 64 * 1024;
    private static final HttpDecoderConfig CONFIG =
            new HttpDecoderConfig().setMaxChunkSize(MOST_PART);

    private HttpFraming() {}

    /** Says what is wrong with the head's framing, or null. */
    static String fault(HttpMessage head) {
        if (head.decoderResult().isFailure()) {
            return String.valueOf(head.decoderResult().cause());
        }
        if (!HttpVersion.HTTP_1_1.equals(head.protocolVersion())) {
            return "the version is " + head.protocolVersion();
        }
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        return encodings.isEmpty() || chunked ? null : "the transfer encoding is " + encodings;
    }

    /** Whether the head says where its body ends. */
    static boolean hasLength(HttpMessage head) {
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static IllegalArgumentException twoLengths() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Reads requests. */
    static final class Requests extends HttpRequestDecoder {
        Requests() {
            super(CONFIG);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        /** Whether bytes have come that belong to no message yet. */
        boolean hasMore() {
            return actualReadableBytes() > 0;
        }
    }

    /** Reads answers. */
    static final class Answers extends HttpResponseDecoder {
        Answers() {
            super(CONFIG);
        }

        private boolean inHeaders;

        // As strict about header lines as for requests. For answers Netty takes a line without a
        // colon for a
        // field: a head that could not be read was served to 33 clients in half a minute. Only
        // there: a
        // status line may have no reason, and an answer without a length lasts until the close.
        @Override
        protected boolean isDecodingRequest() {
            return inHeaders;
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            HttpMessage message = super.createMessage(initialLine);
            inHeaders = true;
            return message;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            inHeaders = false;
            return super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        /** Whether bytes have come that belong to no message yet. */
        boolean hasMore() {
            return actualReadableBytes() > 0;
        }
    }
}
