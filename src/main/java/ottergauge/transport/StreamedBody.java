// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;
import ottergauge.protocol.BodyLimits;

/**
 * A body too large to be buffered, which is relayed from one connection to another. Its last part
 * is held until {@link #complete}. The last part makes the message complete for the receiver, so it
 * must first be known that no bytes followed the message.
 */
final class StreamedBody {

    /** The outcome of adding a part. */
    enum Added {
        RELAYED,
        LAST_PART_HELD,
        TOO_LARGE
    }

    private final BodyRelay relay;
    private HttpContent heldLastPart;
    private long bytes;

    /** Starts with the bytes buffered so far; reads no more until the body is relayed. */
    StreamedBody(Connection source, byte[] buffered, BodyRelay.FlowHandler flowHandler) {
        relay = new BodyRelay(source, flowHandler);
        bytes = buffered.length;
        addInParts(Unpooled.wrappedBuffer(buffered));
    }

    // In parts of the size of a read: the memory of a part is free only once all of it is written.
    private void addInParts(ByteBuf buffered) {
        while (buffered.isReadable()) {
            int length = Math.min(buffered.readableBytes(), Connection.MAX_READ_BYTES);
            relay.add(new DefaultHttpContent(buffered.readSlice(length)));
        }
    }

    /**
     * Adds a part and retains it, unless the body is too large; the caller still releases its own
     * reference.
     */
    Added add(HttpContent part) {
        bytes += part.content().readableBytes();
        if (bytes > BodyLimits.MAX_STREAMED_BYTES) {
            return Added.TOO_LARGE;
        }
        if (part instanceof LastHttpContent) {
            heldLastPart = part.retain();
            return Added.LAST_PART_HELD;
        }
        relay.add(part);
        return Added.RELAYED;
    }

    /** Counts bytes of this body that were read before it has a destination. */
    void countReadAhead(ReadAheadBudget.Reservation readAhead) {
        relay.countReadAhead(readAhead);
    }

    boolean hasDestination() {
        return relay.hasDestination();
    }

    /**
     * Relays to this connection; the handler is called once the last part is written, or writing it
     * has failed.
     */
    void relayTo(Connection destination, Consumer<ChannelFuture> onLastPart) {
        relay.relayTo(destination, onLastPart);
    }

    /** Relays the last part. */
    void complete() {
        relay.add(heldLastPart);
        relay.flush();
        heldLastPart.release();
        heldLastPart = null;
    }

    void flush() {
        relay.flush();
    }

    /** Releases the parts that have not been relayed; further parts are ignored. */
    void drop() {
        relay.drop();
        if (heldLastPart != null) {
            heldLastPart.release();
            heldLastPart = null;
        }
    }
}
