// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.Costs;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;

/** Limits the number of load probes per request. See docs/design.md, "Active load probes". */
public final class ProbeBudget {

    // Maximum fraction of the deployment's result that probes may cost. The loss from selecting a
    // bad server is much larger.
    private static final double MAX_PROBE_COST_RATIO = 0.06;
    private static final int MAX_PROBES = 32;
    private static final int MIN_PROBES = 2;

    private int maxProbes;

    /**
     * Returns whether the minimum number of probes per request is cheap enough to be worthwhile.
     */
    static boolean affordsProbes(Costs costs) {
        return costs.probe() * MIN_PROBES <= MAX_PROBE_COST_RATIO;
    }

    /** Applies new costs. */
    public void applySettings(Costs costs) {
        double probeCost = costs.probe();
        maxProbes =
                (int)
                        Math.min(
                                MAX_PROBES,
                                probeCost > 0 ? MAX_PROBE_COST_RATIO / probeCost : MAX_PROBES);
    }

    /**
     * Returns whether another server may be probed for a request now. Half of the request's probes
     * may directly follow one another. The others are spread over the time until its deadline;
     * otherwise each pending request would repeatedly probe every server of a large busy fleet.
     */
    public boolean permits(Request request, long now) {
        return request.probes() < maxProbes / 2
                || (request.probes() < maxProbes && now >= request.nextProbeAt());
    }

    /** Records that a request waits for a server's load probe. */
    public void recordProbe(Request request, Server server, long now) {
        long spacing = (request.deadline() - now) / Math.max(1, maxProbes - request.probes());
        request.recordProbe(server, now + spacing);
    }
}
