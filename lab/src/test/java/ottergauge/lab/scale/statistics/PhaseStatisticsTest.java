// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.PhaseKind;
import ottergauge.lab.scale.statistics.PhaseStatistics.Verdict;

/** Checks the statistics of a phase against observations at made-up times. */
class PhaseStatisticsTest {

    private static final long S = 1_000_000;
    private static final long FROM = 100 * S;
    private static final long UNTIL = 110 * S;

    private final Observations observations = new Observations();

    PhaseStatisticsTest() {
        List.of("h1", "h2", "real-1").forEach(observations::addNode);
        observations.recordChange(7, 50 * S);
        observations.recordVersion("h1", 7, 51 * S);
        observations.recordVersion("h2", 7, 51 * S);
    }

    private PhaseStatistics statistics(
            boolean startsWithoutState, Map<String, Long> reachableFrom, String digest) {
        Phase phase = new Phase("phase", PhaseKind.CHANGES, 10 * S, 1, 1, 0, List.of(), "", 0);
        return observations.statistics(
                new PhaseWindow(
                        phase,
                        FROM,
                        UNTIL,
                        List.of("h1", "h2"),
                        List.of("real-1"),
                        startsWithoutState,
                        reachableFrom,
                        digest));
    }

    private PhaseStatistics statistics() {
        return statistics(false, Map.of(), "");
    }

    @Test
    void propagationIsMeasuredFromTheChangeUntilItTakesEffectOnEachNode() {
        observations.recordChange(8, 101 * S);
        observations.recordVersion("h1", 8, 101 * S + 30);
        observations.recordVersion("h2", 8, 101 * S + 50);
        observations.recordVersion("real-1", 8, 101 * S + 70);
        PhaseStatistics statistics = statistics();
        assertEquals(1, statistics.changes());
        assertEquals(new Distribution(2, 30, 50, 50), statistics.propagation());
        assertEquals(new Distribution(1, 50, 50, 50), statistics.propagationToLastNode());
        assertEquals(new Distribution(1, 70, 70, 70), statistics.propagationToRealNodes());
        assertEquals(Verdict.REACHED, statistics.verdict());
    }

    @Test
    void aLaterVersionIncludesTheEarlierOne() {
        observations.recordChange(8, 101 * S);
        observations.recordChange(9, 102 * S);
        observations.recordVersion("h1", 9, 102 * S + 10);
        observations.recordVersion("h2", 9, 102 * S + 20);
        PhaseStatistics statistics = statistics();
        assertEquals(new Distribution(2, 20, S + 20, S + 20), statistics.propagationToLastNode());
        assertEquals(0, statistics.missingChanges());
    }

    @Test
    void aNodeOnWhichAChangeNeverTakesEffectIsBehindAndCountsAsMissing() {
        observations.recordChange(8, 101 * S);
        observations.recordVersion("h1", 8, 101 * S + 30);
        PhaseStatistics statistics = statistics();
        assertEquals(1, statistics.missingChanges());
        assertEquals(1, statistics.nodesBehind());
        assertEquals(Distribution.NONE, statistics.propagationToLastNode());
        assertEquals(Verdict.NOT_REACHED, statistics.verdict());
    }

    @Test
    void aNodeWithOtherServersHasWrongServers() {
        observations.recordDigest("h1", "abc");
        observations.recordDigest("h2", "abd");
        PhaseStatistics statistics = statistics(false, Map.of(), "abc");
        assertEquals(1, statistics.nodesWithWrongServers());
        assertEquals(Verdict.NOT_REACHED, statistics.verdict());
    }

    @Test
    void propagationToACutOffNodeIsMeasuredFromItsReconnection() {
        observations.recordChange(8, 101 * S);
        observations.recordVersion("h1", 8, 101 * S + 30);
        observations.recordVersion("h2", 8, 105 * S + 40);
        assertEquals(
                new Distribution(2, 30, 40, 40),
                statistics(false, Map.of("h2", 105 * S), "").propagation());
    }

    @Test
    void nodesThatStartWithoutStateAreMeasuredFromThePhaseStart() {
        observations.recordRestart(List.of("h1", "h2"));
        observations.recordVersion("h1", 7, 103 * S);
        assertEquals(1, statistics(true, Map.of(), "").nodesBehind());
        observations.recordVersion("h2", 7, 104 * S);
        assertEquals(
                new Distribution(2, 3 * S, 4 * S, 4 * S),
                statistics(true, Map.of(), "").propagationAfterRestart());
        assertEquals(Verdict.REACHED, statistics(true, Map.of(), "").verdict());
    }

    @Test
    void maxBytesIn10sIsTakenOverASlidingWindow() {
        observations.recordTraffic("h1", 100, 20, FROM + 100_000);
        observations.recordTraffic("h1", 1_000, 0, FROM + 200_000);
        observations.recordTraffic("h2", 500, 0, FROM - 100_000);
        observations.recordTraffic("h2", 80, 0, FROM - 90_000);
        Phase phase = new Phase("phase", PhaseKind.REST, 40 * S, 0, 1, 0, List.of(), "", 0);
        for (int second = 11; second < 30; second++) {
            observations.recordTraffic("h1", 110, 0, FROM + second * S);
        }
        PhaseStatistics statistics =
                observations.statistics(
                        new PhaseWindow(
                                phase,
                                FROM,
                                FROM + 40 * S,
                                List.of("h1", "h2"),
                                List.of(),
                                false,
                                Map.of(),
                                ""));
        // A window of 10 s, plus the 0.1 s interval that lies only partly in it, contains eleven of
        // these entries, one per second.
        assertEquals(1_210, statistics.maxBytesIn10s());
        assertEquals((1_120 + 80 + 19 * 110) / 40.0 / 2, statistics.bytesPerNodePerSecond());
    }

    /** Guards against attributing events in a phase to the time before the phase. */
    @Test
    void anIntervalThatOverlapsThePhaseBelongsToIt() {
        observations.recordFullLists(2, 700, FROM - 60_000);
        observations.recordFullLists(9, 900, FROM - 100_000);
        assertEquals(new PhaseStatistics.FullLists(2, 700), statistics().fullLists());
    }

    @Test
    void maxCallsIn100msIsTakenOverASlidingWindowOfAllKinds() {
        observations.recordCalls("discovery changes", 3, FROM);
        observations.recordCalls("discovery whole", 2, FROM + 90_000);
        observations.recordCalls("discovery changes", 4, FROM + 110_000);
        observations.recordCalls("discovery changes", 100, UNTIL);
        PhaseStatistics statistics = statistics();
        assertEquals(6, statistics.maxCallsIn100ms());
        assertEquals(Map.of("discovery changes", 7L, "discovery whole", 2L), statistics.calls());
    }

    /**
     * Guards against statistics of a phase in which the laboratory ran late and so measured itself
     * instead of the nodes.
     */
    @Test
    void moreThanOnePercentOfLateSamplesInvalidatesThePhase() {
        observations.recordLateness("links", 500, 5, FROM + S);
        observations.recordLateness("links", 500, 5, FROM + 2 * S);
        observations.recordLateness("hollow-1", 100, 100, FROM - S);
        assertEquals(Verdict.REACHED, statistics().verdict());
        observations.recordLateness("links", 100, 2, FROM + 3 * S);
        assertEquals(Verdict.RIG_LATE, statistics().verdict());
        assertEquals("links", statistics().rigLateness().process());
    }

    @Test
    void aProcessSuspendedOnPurposeIsNotLate() {
        observations.ignoreLateness("hollow-1", FROM + 3 * S);
        observations.recordLateness("hollow-1", 100, 90, FROM + 2 * S);
        assertEquals(Verdict.REACHED, statistics().verdict());
        observations.recordLateness("hollow-1", 100, 90, FROM + 3 * S);
        assertEquals(Verdict.RIG_LATE, statistics().verdict());
    }

    @Test
    void lostReportLinesInvalidateThePhase() {
        observations.recordLostLines("hollow-1", 1);
        assertEquals(Verdict.RIG_LATE, statistics().verdict());
    }

    @Test
    void cpuIsMeasuredBetweenTheFirstAndTheLastSample() {
        observations.recordUsage("links", 1_000, 50, FROM - S);
        observations.recordUsage("links", 1_500, 70, FROM + S);
        observations.recordUsage("links", 101_500, 60, FROM + 2 * S);
        assertEquals(Map.of("links", 0.1), statistics().cores());
        assertEquals(Map.of("links", 70L), statistics().residentBytes());
    }
}
