// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import ottergauge.lab.net.Loop;

/**
 * Records when the first byte of each request arrived. The rule that a draining server gets no new
 * requests uses this time.
 */
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

    /**
     * Returns when the first byte of the completely received request arrived, and resets the
     * recorder for the next request.
     */
    long takeTime() {
        long time = at;
        at = -1;
        return time;
    }
}
