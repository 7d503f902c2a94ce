// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.List;
import ottergauge.DecisionApi.RequestClass;

/** Counts since the start of the process. Each request that was taken ends under one count at the most. */
final class Figures {

    private final List<RequestClass> classes;
    private final long[] completed;
    private final long[] rejected;
    private final long[] failed;
    private long upstreamRequests;
    private long pending;

    Figures(List<RequestClass> classes) {
        this.classes = classes;
        completed = new long[classes.size()];
        rejected = new long[classes.size()];
        failed = new long[classes.size()];
    }

    void taken() {
        pending++;
    }

    void completed(int requestClass) {
        pending--;
        completed[requestClass]++;
    }

    void rejected(int requestClass) {
        pending--;
        rejected[requestClass]++;
    }

    void failed(int requestClass) {
        pending--;
        failed[requestClass]++;
    }

    /** Its client has left: whatever became of it reached nobody. */
    void abandoned() {
        pending--;
    }

    /** The last byte of an attempt is written to a server. */
    void attempted() {
        upstreamRequests++;
    }

    String text(int members, int unavailable) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < classes.size(); i++) {
            line(text, "completed." + classes.get(i).name(), completed[i]);
            line(text, "rejected." + classes.get(i).name(), rejected[i]);
            line(text, "failed." + classes.get(i).name(), failed[i]);
        }
        line(text, "upstream_requests", upstreamRequests);
        line(text, "pending", pending);
        line(text, "members", members);
        line(text, "members_unavailable", unavailable);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("balancer.").append(name).append('=').append(value).append('\n');
    }
}
