// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.Costs;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;

/** How many probes may be made for one request. See docs/design.md, "Active load probes". */
public final class ProbeBudget {

    // The part of the result that probes may cost: well under what a bad pick costs.
    private static final double MAX_PROBE_COST_RATIO = 0.06;
    private static final int MAX_PROBES = 32;
    private static final int MIN_PROBES = 2;

    private int maxProbes;

    /** Whether probes cost little enough to be of use. */
    static boolean affordsProbes(Costs costs) {
        return costs.probe() * MIN_PROBES <= MAX_PROBE_COST_RATIO;
    }

    /** Takes other costs. */
    public void applySettings(Costs costs) {
        double price = costs.probe();
        maxProbes =
                (int) Math.min(MAX_PROBES, price > 0 ? MAX_PROBE_COST_RATIO / price : MAX_PROBES);
    }

    /**
     * Whether another server may be probed for a request now. Half of its probes may follow each
     * other, the rest is spread over its time: else each pending request would probe all of a large
     * busy fleet again and again.
     */
    public boolean permits(Request request, long now) {
        return request.probes() < maxProbes / 2
                || (request.probes() < maxProbes && now >= request.nextProbeAt());
    }

    /** Notes that a request waits for a server's probe. */
    public void recordProbe(Request request, Server server, long now) {
        long spacing = (request.deadline() - now) / Math.max(1, maxProbes - request.probes());
        request.recordProbe(server, now + spacing);
    }
}
