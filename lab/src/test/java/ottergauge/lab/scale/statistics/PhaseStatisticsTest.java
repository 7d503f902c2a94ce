// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ottergauge.lab.scale.statistics.PhaseStatistics.Verdict;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.What;

/** Holds the figures of a phase to what was seen in it, on made-up instants. */
class PhaseStatisticsTest {

    private static final long S = 1_000_000;
    private static final long FROM = 100 * S;
    private static final long UNTIL = 110 * S;

    private final Observations seen = new Observations();

    PhaseStatisticsTest() {
        List.of("h1", "h2", "real-1").forEach(seen::expect);
        seen.changed(7, 50 * S);
        seen.inForce("h1", 7, 51 * S);
        seen.inForce("h2", 7, 51 * S);
    }

    private PhaseStatistics figures(
            boolean beginsAnew, Map<String, Long> excusedUntil, String digest) {
        Phase phase = new Phase("phase", What.CHANGES, 10 * S, 1, 1, 0, List.of(), "", 0);
        return seen.figures(
                new PhaseWindow(
                        phase,
                        FROM,
                        UNTIL,
                        List.of("h1", "h2"),
                        List.of("real-1"),
                        beginsAnew,
                        excusedUntil,
                        digest));
    }

    private PhaseStatistics figures() {
        return figures(false, Map.of(), "");
    }

    @Test
    void aChangeCountsFromItsInstantUntilEachNodeGoesByIt() {
        seen.changed(8, 101 * S);
        seen.inForce("h1", 8, 101 * S + 30);
        seen.inForce("h2", 8, 101 * S + 50);
        seen.inForce("real-1", 8, 101 * S + 70);
        PhaseStatistics figures = figures();
        assertEquals(1, figures.changes());
        assertEquals(new Distribution(2, 30, 50, 50), figures.inForce());
        assertEquals(new Distribution(1, 50, 50, 50), figures.atLastNode());
        assertEquals(new Distribution(1, 70, 70, 70), figures.atRealNodes());
        assertEquals(Verdict.REACHED, figures.verdict());
    }

    @Test
    void aLaterVersionBringsTheEarlierOneToo() {
        seen.changed(8, 101 * S);
        seen.changed(9, 102 * S);
        seen.inForce("h1", 9, 102 * S + 10);
        seen.inForce("h2", 9, 102 * S + 20);
        PhaseStatistics figures = figures();
        assertEquals(new Distribution(2, 20, S + 20, S + 20), figures.atLastNode());
        assertEquals(0, figures.missing());
    }

    @Test
    void aNodeThatNeverGoesByAChangeIsMissingAndBehind() {
        seen.changed(8, 101 * S);
        seen.inForce("h1", 8, 101 * S + 30);
        PhaseStatistics figures = figures();
        assertEquals(1, figures.missing());
        assertEquals(1, figures.behind());
        assertEquals(Distribution.NONE, figures.atLastNode());
        assertEquals(Verdict.NOT_REACHED, figures.verdict());
    }

    @Test
    void aNodeWithOtherServersIsWrong() {
        seen.digest("h1", "abc");
        seen.digest("h2", "abd");
        PhaseStatistics figures = figures(false, Map.of(), "abc");
        assertEquals(1, figures.wrong());
        assertEquals(Verdict.NOT_REACHED, figures.verdict());
    }

    @Test
    void aNodeThatWasCutOffCountsFromWhenItNoLongerWas() {
        seen.changed(8, 101 * S);
        seen.inForce("h1", 8, 101 * S + 30);
        seen.inForce("h2", 8, 105 * S + 40);
        assertEquals(
                new Distribution(2, 30, 40, 40), figures(false, Map.of("h2", 105 * S), "").inForce());
    }

    @Test
    void nodesThatBeginAnewCountFromTheBeginning() {
        seen.restarted(List.of("h1", "h2"));
        seen.inForce("h1", 7, 103 * S);
        assertEquals(1, figures(true, Map.of(), "").behind());
        seen.inForce("h2", 7, 104 * S);
        assertEquals(
                new Distribution(2, 3 * S, 4 * S, 4 * S), figures(true, Map.of(), "").afterRestart());
        assertEquals(Verdict.REACHED, figures(true, Map.of(), "").verdict());
    }

    @Test
    void theMostBytesOfTenSecondsSlideOverThePhase() {
        seen.traffic("h1", 100, 20, FROM + 100_000);
        seen.traffic("h1", 1_000, 0, FROM + 200_000);
        seen.traffic("h2", 500, 0, FROM - 100_000);
        seen.traffic("h2", 80, 0, FROM - 90_000);
        Phase phase = new Phase("phase", What.REST, 40 * S, 0, 1, 0, List.of(), "", 0);
        for (int second = 11; second < 30; second++) {
            seen.traffic("h1", 110, 0, FROM + second * S);
        }
        PhaseStatistics figures =
                seen.figures(
                        new PhaseWindow(
                                phase,
                                FROM,
                                FROM + 40 * S,
                                List.of("h1", "h2"),
                                List.of(),
                                false,
                                Map.of(),
                                ""));
        // Eleven of a second each lie in ten seconds and a tenth.
        assertEquals(1_210, figures.mostBytesIn10s());
        assertEquals((1_120 + 80 + 19 * 110) / 40.0 / 2, figures.bytesANode());
    }

    /** Guards against what happens at once in a phase counting for the time before it. */
    @Test
    void aSpanThatReachesIntoThePhaseBelongsToIt() {
        seen.wholeLists(2, 700, FROM - 60_000);
        seen.wholeLists(9, 900, FROM - 100_000);
        assertEquals(new PhaseStatistics.WholeLists(2, 700), figures().wholeLists());
    }

    @Test
    void theMostCallsOfATenthOfASecondSlideOverAllKinds() {
        seen.calls("discovery changes", 3, FROM);
        seen.calls("discovery whole", 2, FROM + 90_000);
        seen.calls("discovery changes", 4, FROM + 110_000);
        seen.calls("discovery changes", 100, UNTIL);
        PhaseStatistics figures = figures();
        assertEquals(6, figures.mostCallsIn100ms());
        assertEquals(Map.of("discovery changes", 7L, "discovery whole", 2L), figures.calls());
    }

    /** Guards against figures of a rig that measured itself. */
    @Test
    void aRigThatIsLateAtOverAHundredthOfItsLooksSaysNothing() {
        seen.lateness("links", 500, 5, FROM + S);
        seen.lateness("links", 500, 5, FROM + 2 * S);
        seen.lateness("hollow-1", 100, 100, FROM - S);
        assertEquals(Verdict.REACHED, figures().verdict());
        seen.lateness("links", 100, 2, FROM + 3 * S);
        assertEquals(Verdict.RIG_LATE, figures().verdict());
        assertEquals("links", figures().latest().process());
    }

    @Test
    void aProcessThatIsStoppedOnPurposeIsNotLate() {
        seen.excuse("hollow-1", FROM + 3 * S);
        seen.lateness("hollow-1", 100, 90, FROM + 2 * S);
        assertEquals(Verdict.REACHED, figures().verdict());
        seen.lateness("hollow-1", 100, 90, FROM + 3 * S);
        assertEquals(Verdict.RIG_LATE, figures().verdict());
    }

    @Test
    void aReportWithLostLinesSaysNothing() {
        seen.lost("hollow-1", 1);
        assertEquals(Verdict.RIG_LATE, figures().verdict());
    }

    @Test
    void cpuIsThatBetweenTheFirstLookAndTheLast() {
        seen.use("links", 1_000, 50, FROM - S);
        seen.use("links", 1_500, 70, FROM + S);
        seen.use("links", 101_500, 60, FROM + 2 * S);
        assertEquals(Map.of("links", 0.1), figures().cores());
        assertEquals(Map.of("links", 70L), figures().residentBytes());
    }
}
