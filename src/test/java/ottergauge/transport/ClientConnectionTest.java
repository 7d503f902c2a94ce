// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ottergauge.routing.Event;

/** Tests a client's connection on a channel without sockets. */
class ClientConnectionTest {

    private static final String REQUEST =
            "POST /api HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: grant\r\nContent-Length: 0\r\n\r\n";
    private static final int PIPELINED = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Event> events = new ArrayList<>();
    private int decodedHeads;

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void connect() {
        EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
        new DownstreamConnections(monitor, events::add).add(channel.pipeline(), 0);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addAfter(
                pipeline.context(HttpFraming.RequestDecoder.class).name(),
                "heads",
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        decodedHeads += message instanceof HttpRequest ? 1 : 0;
                        ctx.fireChannelRead(message);
                    }
                });
    }

    /**
     * Guards against a client that sends many requests at once on one connection: it gets an error,
     * and decoding the rest would delay all other clients.
     */
    @Test
    void requestsBehindARejectedOne_areNotDecoded() {
        connect();
        for (int i = 0; i < 3; i++) {
            channel.writeInbound(
                    Unpooled.copiedBuffer(REQUEST.repeat(PIPELINED), StandardCharsets.ISO_8859_1));
        }
        assertTrue(events.stream().anyMatch(Event.InvalidRequest.class::isInstance));
        assertEquals(2, decodedHeads);
    }
}
