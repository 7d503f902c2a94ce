// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import ottergauge.lab.net.Loop;

/** Notes when the first byte of each request came: for drains a send counts from there. */
final class FirstByteRecorder extends ChannelInboundHandlerAdapter {

    private final Loop loop;
    private long at = -1;

    FirstByteRecorder(Loop loop) {
        this.loop = loop;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (at < 0) {
            at = loop.now();
        }
        ctx.fireChannelRead(message);
    }

    /** When the request that has come whole began; the next one begins with the next byte. */
    long takeTime() {
        long time = at;
        at = -1;
        return time;
    }
}
