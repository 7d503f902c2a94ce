// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.client;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.SplittableRandom;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.Loop;

/**
 * Deals clients out among the nodes: takes one in once it says that it is ready, out as soon as it
 * says that it is not, and notices late that one has died.
 */
final class Front {

    private static final long LOOK_EVERY = 100_000;
    private static final long ANSWER_WITHIN = 500_000;

    private final Loop loop;
    private final Dialer dialer;
    private final EventLog eventLog;
    private final long notice;
    private final double busiest;
    private final boolean[] in;
    private final long[] silentSince;
    private final SplittableRandom random;
    private boolean ended;

    Front(
            Loop loop,
            Dialer dialer,
            EventLog eventLog,
            int nodes,
            double busiest,
            long notice,
            long seed) {
        this.loop = loop;
        this.dialer = dialer;
        this.eventLog = eventLog;
        this.notice = notice;
        this.busiest = busiest;
        in = new boolean[nodes + 1];
        silentSince = new long[nodes + 1];
        random = new SplittableRandom(seed);
    }

    void begin() {
        for (int node = 1; node < in.length; node++) {
            look(node);
        }
    }

    void end() {
        ended = true;
    }

    private void look(int node) {
        if (ended) {
            return;
        }
        var request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health/ready");
        request.headers()
                .set(HttpHeaderNames.HOST, "front")
                .set(HttpHeaderNames.CONNECTION, "close");
        boolean[] heard = new boolean[1];
        dialer.ask(
                node,
                request,
                ANSWER_WITHIN,
                status -> {
                    if (!heard[0]) {
                        heard[0] = true;
                        heard(node, status);
                        loop.after(LOOK_EVERY, () -> look(node));
                    }
                });
    }

    private void heard(int node, int status) {
        long now = loop.now();
        if (status == 200) {
            silentSince[node] = 0;
            take(node, true, "takes clients");
        } else if (status > 0) {
            take(node, false, "takes no clients");
        } else if (silentSince[node] == 0) {
            silentSince[node] = now;
        } else if (now - silentSince[node] >= notice) {
            take(node, false, "is gone, the front notices");
        }
    }

    private void take(int node, boolean next, String what) {
        if (in[node] != next) {
            in[node] = next;
            eventLog.addEvent(loop.now(), "n" + node, what);
        }
    }

    /** A node for the next request, or 0 if none is in. */
    int choose() {
        double sum = 0;
        for (int node = 1; node < in.length; node++) {
            sum += in[node] ? weight(node) : 0;
        }
        double left = random.nextDouble() * sum;
        int last = 0;
        for (int node = 1; node < in.length; node++) {
            if (in[node]) {
                last = node;
                left -= weight(node);
                if (left < 0) {
                    return node;
                }
            }
        }
        return last;
    }

    private double weight(int node) {
        return node == 1 ? busiest : 1;
    }

    boolean allIn() {
        for (int node = 1; node < in.length; node++) {
            if (!in[node]) {
                return false;
            }
        }
        return true;
    }
}
