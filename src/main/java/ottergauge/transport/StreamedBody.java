// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;
import ottergauge.protocol.BodyLimits;

/**
 * A body too large to be buffered, on its way from its connection to another. Its last part is kept
 * back until {@link #complete}: with it the other side has a complete message, and before that it
 * must be known that nothing followed the message.
 */
final class StreamedBody {

    /** What became of a part. */
    enum Added {
        RELAYED,
        KEPT_BACK_AS_LAST,
        TOO_LARGE
    }

    private final BodyRelay relay;
    private HttpContent lastPart;
    private long bytes;

    /** Begins with the bytes that were buffered so far; reads no more until it is relayed. */
    StreamedBody(Connection source, byte[] buffered) {
        relay = new BodyRelay(source);
        bytes = buffered.length;
        relay.add(new DefaultHttpContent(Unpooled.wrappedBuffer(buffered)));
    }

    /** Adds a part, of which it takes a reference of its own. */
    Added add(HttpContent part) {
        bytes += part.content().readableBytes();
        if (bytes > BodyLimits.MAX_STREAMED_BYTES) {
            return Added.TOO_LARGE;
        }
        if (part instanceof LastHttpContent) {
            lastPart = part.retain();
            return Added.KEPT_BACK_AS_LAST;
        }
        relay.add(part);
        return Added.RELAYED;
    }

    boolean hasDestination() {
        return relay.hasDestination();
    }

    /**
     * Relays to this connection; the handler is called once the last part is written, or failed.
     */
    void relayTo(Connection destination, Consumer<ChannelFuture> onLastPart) {
        relay.relayTo(destination, onLastPart);
    }

    /** Relays the last part. */
    void complete() {
        relay.add(lastPart);
        relay.flush();
        lastPart.release();
        lastPart = null;
    }

    void flush() {
        relay.flush();
    }

    /** Releases what has not been relayed; further parts are ignored. */
    void drop() {
        relay.drop();
        if (lastPart != null) {
            lastPart.release();
            lastPart = null;
        }
    }
}
