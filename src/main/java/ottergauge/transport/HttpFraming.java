// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/**
 * Strict message framing. Netty's decoders accept ambiguous heads and choose one interpretation. A
 * server behind the node may choose the other one and find a request inside a body (request
 * smuggling). The decoders of this class treat such a message as malformed.
 */
final class HttpFraming {

    /**
     * As large as one read, so that a large body is not split into smaller parts than it arrived
     * in.
     */
    private static final int MAX_PART_BYTES = 64 * 1024;

    private static final HttpDecoderConfig CONFIG =
            new HttpDecoderConfig()
                    .setMaxChunkSize(MAX_PART_BYTES)
                    .setHeadersFactory(
                            LimitedHeaders.factory(DefaultHttpHeadersFactory.headersFactory()))
                    .setTrailersFactory(
                            LimitedHeaders.factory(DefaultHttpHeadersFactory.trailersFactory()));

    private HttpFraming() {}

    /** Returns the error in the framing of a message according to its head, if there is one. */
    static Optional<String> fault(HttpMessage head) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(String.valueOf(head.decoderResult().cause()));
        }
        if (!HttpVersion.HTTP_1_1.equals(head.protocolVersion())) {
            return Optional.of("the version is " + head.protocolVersion());
        }
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        return encodings.isEmpty() || chunked
                ? Optional.empty()
                : Optional.of("the transfer encoding is " + encodings);
    }

    /** Whether the head says where the body ends. */
    static boolean hasLength(HttpMessage head) {
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static IllegalArgumentException ambiguousLength() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Decodes requests. */
    static final class RequestDecoder extends HttpRequestDecoder {

        private long receivedBytes;
        private boolean discarding;

        RequestDecoder() {
            super(CONFIG);
        }

        /** Discards all further input without decoding it. */
        void discardInput() {
            discarding = true;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                receivedBytes += bytes.readableBytes();
                if (discarding) {
                    bytes.release();
                    return;
                }
            }
            super.channelRead(ctx, message);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
                throws Exception {
            if (discarding) {
                buffer.skipBytes(buffer.readableBytes());
            } else {
                super.decode(ctx, buffer, out);
            }
        }

        /** How many bytes the connection has received so far. */
        long receivedBytes() {
            return receivedBytes;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw ambiguousLength();
        }

        /** Whether bytes have arrived that belong to no message yet. */
        boolean hasMoreBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Decodes responses. */
    static final class ResponseDecoder extends HttpResponseDecoder {

        private boolean inHeaders;

        ResponseDecoder() {
            super(CONFIG);
        }

        // Header lines are checked as strictly as those of requests: in a response, Netty would
        // accept a line without a colon as a field. Everything else is decoded as a response: a
        // status line may have no reason phrase, and a response without a length lasts until the
        // connection's end.
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
            throw ambiguousLength();
        }

        /** Whether bytes have arrived that belong to no message yet. */
        boolean hasMoreBytes() {
            return actualReadableBytes() > 0;
        }
    }
}
