// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the framing of requests on a channel without sockets. */
class HttpFramingTest {

    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpFraming.RequestDecoder());

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static String fields(int count) {
        return "a:\r\n".repeat(count);
    }

    @Test
    void headWithTheMaximumOfFields_isDecoded() {
        receive("GET /api HTTP/1.1\r\n" + fields(LimitedHeaders.MAX_FIELDS) + "\r\n");
        HttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isSuccess());
        assertEquals(LimitedHeaders.MAX_FIELDS, request.headers().size());
    }

    /**
     * Guards against a node that runs out of memory for unfinished heads of very many short fields:
     * a head is refused before it is complete.
     */
    @Test
    void unfinishedHeadWithTooManyFields_isRefused() {
        receive("GET /api HTTP/1.1\r\n" + fields(LimitedHeaders.MAX_FIELDS));
        assertNull(channel.readInbound());
        receive(fields(2));
        HttpRequest request = channel.readInbound();
        assertInstanceOf(TooLongHttpHeaderException.class, request.decoderResult().cause());
    }

    /** The same for the trailers of a chunked body. */
    @Test
    void unfinishedTrailersWithTooManyFields_areRefused() {
        receive("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        ReferenceCountUtil.release(channel.readInbound());
        assertNull(channel.readInbound());
        receive(fields(LimitedHeaders.MAX_FIELDS + 2));
        HttpContent content = channel.readInbound();
        assertInstanceOf(TooLongHttpHeaderException.class, content.decoderResult().cause());
    }

    /** Trailers can't change the framing of their message. */
    @Test
    void trailerThatIsNotAllowed_isDropped() {
        receive("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        ReferenceCountUtil.release(channel.readInbound());
        receive("Content-Length: 3\r\na: b\r\n\r\n");
        LastHttpContent content = channel.readInbound();
        assertTrue(content.decoderResult().isSuccess());
        assertEquals(Set.of("a"), content.trailingHeaders().names());
    }
}
