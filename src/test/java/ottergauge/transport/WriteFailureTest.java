// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Content;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event;
import ottergauge.routing.Event.ClientClosed;
import ottergauge.routing.Event.ClientConnected;

/** Tests writes that fail while the connection stays open, as they do for lack of memory. */
class WriteFailureTest {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Fails the write of this number. */
    private static final class OutOfMemory extends ChannelOutboundHandlerAdapter {

        private final int failing;
        private int writes;

        OutOfMemory(int failing) {
            this.failing = failing;
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
                throws Exception {
            if (++writes == failing) {
                promise.setFailure(new OutOfMemoryError("no direct memory"));
            } else {
                super.write(ctx, message, promise);
            }
        }
    }

    /** Guards against a client that waits for an answer on a connection that the node keeps. */
    @Test
    void responseThatCannotBeWritten_endsTheClientsConnection() {
        List<Event> events = new ArrayList<>();
        DownstreamConnections clients =
                new DownstreamConnections(new EventLoopMonitor(() -> 0), events::add);
        EmbeddedChannel channel = new EmbeddedChannel();
        clients.add(channel.pipeline(), 0);
        long client = ((ClientConnected) events.get(0)).client();
        channel.pipeline().addFirst(new OutOfMemory(1));

        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: grant\r\n"
                                + "Content-Length: 0\r\n\r\n",
                        StandardCharsets.ISO_8859_1));
        clients.respond(new Respond(client, 200, 0, Content.NONE, false));
        channel.runPendingTasks();

        assertFalse(channel.isOpen());
        assertTrue(events.contains(new ClientClosed(client)));
    }

    /** Guards against a body with a gap, whose receiver takes later parts for the missing one. */
    @Test
    void partThatCannotBeWritten_endsTheConnection() {
        EmbeddedChannel destination = new EmbeddedChannel();
        OutboundConnection connection =
                OutboundConnection.over(destination.pipeline(), "server", MAX_BODY_BYTES);
        connection.onEnd(reason -> {});
        EmbeddedChannel source = new EmbeddedChannel();
        OutboundConnection reader =
                OutboundConnection.over(source.pipeline(), "server", MAX_BODY_BYTES);
        reader.onEnd(reason -> {});
        // Below the encoder, which would reject a body without a head.
        destination.pipeline().remove(HttpRequestEncoder.class);
        destination.pipeline().addFirst(new OutOfMemory(2));

        BodyRelay relay = new BodyRelay(reader, blocked -> {});
        relay.relayTo(connection, written -> {});
        for (int i = 0; i < 3; i++) {
            DefaultHttpContent part = new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[8]));
            relay.add(part);
            part.release();
            relay.flush();
        }
        destination.runPendingTasks();

        assertFalse(destination.isOpen());
        assertEquals(1, destination.outboundMessages().size());
    }
}
