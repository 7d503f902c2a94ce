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
 * Calls the node's own door before it takes clients: both ends of a connection on real sockets. The rehearsal
 * runs in memory; with the socket path cold a node refused 500 requests in its first second.
 */
final class WarmUp {

    // As for the rehearsal: the compiler takes up a method after some hundred calls.
    private static final int MOST = 400;
    // Beside a process that serves, whose CPU it shares, and whose clients come to it one by one.
    private static final int MOST_BESIDE = 100;
    private static final int AT_ONCE = 8;
    // The longest that it may keep a node from its clients.
    private static final long LONGEST = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long CALL_WITHIN_MS = 500;

    private final NetClient client;
    private final Address door;
    private final int most;
    private final Promise<Integer> done = Promise.promise();
    private final long from = System.nanoTime();
    private int begun;
    private int ended;
    private int open;

    private WarmUp(NetClient client, Address door, int most) {
        this.most = most;
        this.client = client;
        this.door = door;
    }

    /** Gives back how many calls there were, whatever became of them. */
    static Future<Integer> run(NetClient client, Address door, boolean beside) {
        WarmUp warmUp = new WarmUp(client, door, beside ? MOST_BESIDE : MOST);
        for (int i = 0; i < AT_ONCE; i++) {
            warmUp.next();
        }
        return warmUp.done.future();
    }

    private void next() {
        if (begun < most && System.nanoTime() - from < LONGEST) {
            begun++;
            open++;
            Outbound.connect(client, ConnectionLog.UNTOLD, door, CALL_WITHIN_MS, 1 << 10)
                .onComplete(this::call, failure -> over());
        } else if (open == 0) {
            done.tryComplete(ended);
        }
    }

    private void call(Outbound connection) {
        connection.whenEnded(why -> over());
        FullHttpRequest request =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, DoorConnection.HEALTH);
        request.headers().set(HttpHeaderNames.HOST, connection.address());
        connection.send(request, () -> { }, answer -> connection.close(CloseReason.NOT_REUSABLE));
    }

    private void over() {
        open--;
        ended++;
        next();
    }
}
