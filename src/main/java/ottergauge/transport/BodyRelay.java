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
 * A body on its way from one connection to another, part by part: it is read no faster than the
 * other side takes it. Until that side is known the source is not read.
 */
final class BodyRelay {

    private final Connection from;
    private final Deque<HttpContent> waiting = new ArrayDeque<>();
    private Connection to;
    private Consumer<ChannelFuture> passed;
    private boolean dropped;

    /** Begins with the parts that are there. */
    BodyRelay(Connection from) {
        this.from = from;
        from.pause();
    }

    /** Takes a part that came; it is copied or counted anew, and the caller releases its own. */
    void take(HttpContent part) {
        if (dropped) {
            return;
        }
        // Trailers belong to one hop here.
        HttpContent own =
                part instanceof LastHttpContent
                        ? new DefaultLastHttpContent(part.content().retain())
                        : new DefaultHttpContent(part.content().retain());
        if (to == null) {
            waiting.add(own);
        } else {
            write(own);
        }
    }

    /** Whether it is known where it goes on to. */
    boolean goesOn() {
        return to != null;
    }

    /**
     * Goes on to this connection; the handler hears once the last part is written, or could not be.
     */
    void on(Connection destination, Consumer<ChannelFuture> whenPassed) {
        to = destination;
        passed = whenPassed;
        to.whenTakes(this::goOn);
        for (HttpContent part = waiting.poll(); part != null; part = waiting.poll()) {
            write(part);
        }
        to.context().flush();
        goOn();
    }

    private void goOn() {
        if (!dropped && to.takes()) {
            from.resume();
        }
    }

    private void write(HttpContent part) {
        ChannelFuture written = to.context().write(part);
        if (part instanceof LastHttpContent) {
            // The source carries other messages from now on, however slowly this one's end is
            // taken.
            to.whenTakes(() -> {});
            from.resume();
            written.addListener(done -> passed.accept((ChannelFuture) done));
        } else if (!to.takes()) {
            from.pause();
        }
    }

    /** All that one read brought is taken. */
    void flush() {
        if (to != null) {
            to.context().flush();
        }
    }

    /** It goes nowhere any more. */
    void drop() {
        dropped = true;
        for (HttpContent part = waiting.poll(); part != null; part = waiting.poll()) {
            part.release();
        }
    }
}
