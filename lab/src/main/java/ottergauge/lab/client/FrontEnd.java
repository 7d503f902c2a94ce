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
 * Stand-in for the load balancer in front of the nodes. It picks a node for each request, and
 * checks the readiness of all nodes: a node receives clients as soon as it reports ready, receives
 * none as soon as it reports not ready, and receives none after it has not responded for {@code
 * noticeDelay}.
 */
final class FrontEnd {

    private static final long CHECK_INTERVAL = 100_000;
    private static final long RESPONSE_TIMEOUT = 500_000;

    private final Loop loop;
    private final NodeConnector connector;
    private final EventLog eventLog;
    private final long noticeDelay;
    private final double firstNodeWeight;
    private final boolean[] receivesClients;
    private final long[] silentSince;
    private final SplittableRandom random;
    private boolean stopped;

    FrontEnd(
            Loop loop,
            NodeConnector connector,
            EventLog eventLog,
            int nodes,
            double firstNodeWeight,
            long noticeDelay,
            long seed) {
        this.loop = loop;
        this.connector = connector;
        this.eventLog = eventLog;
        this.noticeDelay = noticeDelay;
        this.firstNodeWeight = firstNodeWeight;
        receivesClients = new boolean[nodes + 1];
        silentSince = new long[nodes + 1];
        random = new SplittableRandom(seed);
    }

    void begin() {
        for (int node = 1; node < receivesClients.length; node++) {
            checkReadiness(node);
        }
    }

    void end() {
        stopped = true;
    }

    private void checkReadiness(int node) {
        if (stopped) {
            return;
        }
        var request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health/ready");
        request.headers()
                .set(HttpHeaderNames.HOST, "front")
                .set(HttpHeaderNames.CONNECTION, "close");
        boolean[] responded = new boolean[1];
        connector.sendOnce(
                node,
                request,
                RESPONSE_TIMEOUT,
                status -> {
                    if (!responded[0]) {
                        responded[0] = true;
                        responded(node, status);
                        loop.after(CHECK_INTERVAL, () -> checkReadiness(node));
                    }
                });
    }

    private void responded(int node, int status) {
        long now = loop.now();
        if (status == 200) {
            silentSince[node] = 0;
            setReceivesClients(node, true, "receives clients");
        } else if (status > 0) {
            setReceivesClients(node, false, "receives no clients");
        } else if (silentSince[node] == 0) {
            silentSince[node] = now;
        } else if (now - silentSince[node] >= noticeDelay) {
            setReceivesClients(node, false, "does not respond and receives no clients");
        }
    }

    private void setReceivesClients(int node, boolean receives, String description) {
        if (receivesClients[node] != receives) {
            receivesClients[node] = receives;
            eventLog.addEvent(loop.now(), "n" + node, description);
        }
    }

    /** Returns a random node for the next request, or 0 if no node receives clients. */
    int chooseNode() {
        double sum = 0;
        for (int node = 1; node < receivesClients.length; node++) {
            sum += receivesClients[node] ? weight(node) : 0;
        }
        double remaining = random.nextDouble() * sum;
        int last = 0;
        for (int node = 1; node < receivesClients.length; node++) {
            if (receivesClients[node]) {
                last = node;
                remaining -= weight(node);
                if (remaining < 0) {
                    return node;
                }
            }
        }
        return last;
    }

    private double weight(int node) {
        return node == 1 ? firstNodeWeight : 1;
    }

    boolean allNodesReady() {
        for (int node = 1; node < receivesClients.length; node++) {
            if (!receivesClients[node]) {
                return false;
            }
        }
        return true;
    }
}
