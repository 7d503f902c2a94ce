// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetClient;
import java.util.concurrent.TimeUnit;
import ottergauge.protocol.Address;
import ottergauge.routing.CloseReason;

/**
 * Calls the node itself before it takes clients: both ends of a connection on real sockets. The
 * rehearsal runs in memory; with the socket path cold a node refused 500 requests in its first
 * second.
 */
final class SelfRequestWarmUp {

    // As for the rehearsal: the compiler takes up a method after some hundred calls.
    private static final int MOST = 400;
    // Without a door the node is away meanwhile: what a restart loses by that is more than what it
    // gains.
    private static final int MOST_AWAY = 100;
    // Beside a process that serves, whose CPU it shares, and whose clients come to it one by one.
    private static final int MOST_BESIDE = 100;
    // What all nodes call together, as for the rehearsal: of many nodes each counts for little.
    private static final int BY_ALL = 1_200;
    private static final int AT_ONCE = 8;
    // The longest that it may keep a node from its clients.
    private static final long LONGEST = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long CALL_WITHIN_MS = 500;

    private final NetClient client;
    private final Address own;
    private final String path;
    private final int most;
    private final Promise<Integer> done = Promise.promise();
    private final long from = System.nanoTime();
    private int begun;
    private int ended;
    private int open;

    private SelfRequestWarmUp(NetClient client, Address own, String path, int most) {
        this.path = path;
        this.most = most;
        this.client = client;
        this.own = own;
    }

    /** Gives back how many calls there were, whatever became of them. */
    static Future<Integer> run(
            NetClient client, Address own, String path, int nodes, boolean away, boolean beside) {
        int most = Math.min(away ? MOST_AWAY : beside ? MOST_BESIDE : MOST, BY_ALL / nodes);
        SelfRequestWarmUp warmUp = new SelfRequestWarmUp(client, own, path, most);
        for (int i = 0; i < AT_ONCE; i++) {
            warmUp.next();
        }
        return warmUp.done.future();
    }

    private void next() {
        if (begun < most && System.nanoTime() - from < LONGEST) {
            begun++;
            open++;
            OutboundConnection.connect(client, ConnectionLog.UNTOLD, own, CALL_WITHIN_MS, 1 << 10)
                    .onComplete(this::call, failure -> over());
        } else if (open == 0) {
            done.tryComplete(ended);
        }
    }

    private void call(OutboundConnection connection) {
        connection.whenEnded(why -> over());
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, connection.address());
        connection.send(request, () -> {}, answer -> connection.close(CloseReason.NOT_REUSABLE));
    }

    private void over() {
        open--;
        ended++;
        next();
    }
}
