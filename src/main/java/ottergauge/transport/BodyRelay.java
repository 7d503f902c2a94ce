// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Relays a body from one connection to another, part by part, with back-pressure: the source is
 * read no faster than the destination is written, and not at all before there is a destination.
 *
 * <p>The relay retains each part. A write passes this reference to Netty, which releases it once
 * the part is written. {@link #drop} releases the parts that are still queued.
 */
final class BodyRelay {

    /** Handles changes of whether the source is read; it is not at first. */
    @FunctionalInterface
    interface FlowHandler {
        /** {@code blocked} is whether the destination accepts no more for now. */
        void flowChanged(boolean blocked);
    }

    private final Connection source;
    private final FlowHandler flowHandler;
    private final Deque<HttpContent> queued = new ArrayDeque<>();
    private Connection destination;
    private Consumer<ChannelFuture> lastPartWritten;
    private final List<ReadAheadBudget.Reservation> readAhead = new ArrayList<>(0);
    private boolean blocked = true;
    private boolean lastPartAdded;
    private boolean dropped;

    /** Stops reading the source until there is a destination. */
    BodyRelay(Connection source, FlowHandler flowHandler) {
        this.source = source;
        this.flowHandler = flowHandler;
        source.pauseReading();
    }

    /** Adds a part and retains it; the caller still releases its own reference. */
    void add(HttpContent part) {
        if (dropped) {
            return;
        }
        // Trailers are not forwarded.
        HttpContent ownReference =
                part instanceof LastHttpContent
                        ? new DefaultLastHttpContent(part.content().retain())
                        : new DefaultHttpContent(part.content().retain());
        if (destination == null) {
            queued.add(ownReference);
        } else {
            write(ownReference);
        }
    }

    boolean hasDestination() {
        return destination != null;
    }

    /** Counts parts that are queued beyond those that a body has when it begins to be streamed. */
    void countReadAhead(ReadAheadBudget.Reservation reservation) {
        readAhead.add(reservation);
    }

    private void releaseReadAhead() {
        readAhead.forEach(ReadAheadBudget.Reservation::release);
        readAhead.clear();
    }

    /**
     * Relays to this connection from now on.
     *
     * @param onLastPart called once the last part is written, or writing it has failed
     */
    void relayTo(Connection to, Consumer<ChannelFuture> onLastPart) {
        destination = to;
        lastPartWritten = onLastPart;
        destination.onWritable(this::resume);
        for (HttpContent part = queued.poll(); part != null; part = queued.poll()) {
            write(part);
        }
        destination.context().flush();
        resume();
    }

    private void resume() {
        if (!dropped && destination.isWritable()) {
            releaseReadAhead();
            source.resumeReading();
            setBlocked(false);
        }
    }

    private void setBlocked(boolean next) {
        if (blocked != next) {
            blocked = next;
            flowHandler.flowChanged(next);
        }
    }

    private void write(HttpContent part) {
        if (part instanceof LastHttpContent) {
            lastPartAdded = true;
            // The source can carry further messages now, even while the destination still writes
            // this body.
            destination.onWritable(() -> {});
            source.resumeReading();
            destination.write(part, this::onLastPartWritten);
            return;
        }
        destination.write(part);
        if (!destination.isWritable()) {
            source.pauseReading();
        }
    }

    private void onLastPartWritten(ChannelFuture written) {
        releaseReadAhead();
        lastPartWritten.accept(written);
    }

    /** Flushes what was written since the last flush. */
    void flush() {
        if (destination == null) {
            return;
        }
        destination.context().flush();
        if (!dropped && !lastPartAdded && !destination.isWritable()) {
            setBlocked(true);
        }
    }

    /** Ends the relay: queued parts are released and further ones are ignored. */
    void drop() {
        dropped = true;
        releaseReadAhead();
        for (HttpContent part = queued.poll(); part != null; part = queued.poll()) {
            part.release();
        }
    }
}
