// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Relays a body from one connection to another, part by part, with back-pressure: the source is
 * read no faster than the destination is written, and not at all before there is a destination.
 *
 * <p>It owns a reference to each part that it holds; parts handed to the destination are released
 * by that when they are written, those that still wait by {@link #drop}.
 */
final class BodyRelay {

    private final Connection source;
    private final Deque<HttpContent> waiting = new ArrayDeque<>();
    private Connection destination;
    private Consumer<ChannelFuture> lastPartWritten;
    private boolean dropped;

    /** Stops reading the source until there is a destination. */
    BodyRelay(Connection source) {
        this.source = source;
        source.pauseReading();
    }

    /** Adds a part, of which it takes a reference of its own. */
    void add(HttpContent part) {
        if (dropped) {
            return;
        }
        // Trailers end at this hop.
        HttpContent own =
                part instanceof LastHttpContent
                        ? new DefaultLastHttpContent(part.content().retain())
                        : new DefaultHttpContent(part.content().retain());
        if (destination == null) {
            waiting.add(own);
        } else {
            write(own);
        }
    }

    boolean hasDestination() {
        return destination != null;
    }

    /**
     * Relays to this connection from now on.
     *
     * @param onLastPart is called once the last part is written, or could not be
     */
    void relayTo(Connection to, Consumer<ChannelFuture> onLastPart) {
        destination = to;
        lastPartWritten = onLastPart;
        destination.onWritable(this::resume);
        for (HttpContent part = waiting.poll(); part != null; part = waiting.poll()) {
            write(part);
        }
        destination.context().flush();
        resume();
    }

    private void resume() {
        if (!dropped && destination.isWritable()) {
            source.resumeReading();
        }
    }

    private void write(HttpContent part) {
        ChannelFuture written = destination.context().write(part);
        if (part instanceof LastHttpContent) {
            // The source carries other messages from now on, however slowly this end is written.
            destination.onWritable(() -> {});
            source.resumeReading();
            written.addListener(done -> lastPartWritten.accept((ChannelFuture) done));
        } else if (!destination.isWritable()) {
            source.pauseReading();
        }
    }

    /** Flushes what was written since the last flush. */
    void flush() {
        if (destination != null) {
            destination.context().flush();
        }
    }

    /** Ends the relay: parts that wait are released, and further ones are ignored. */
    void drop() {
        dropped = true;
        for (HttpContent part = waiting.poll(); part != null; part = waiting.poll()) {
            part.release();
        }
    }
}
