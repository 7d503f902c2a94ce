// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.replica.ReplicaDriver.LOG;
import static ottergauge.replica.ReplicaDriver.change;
import static ottergauge.replica.ReplicaDriver.delete;
import static ottergauge.replica.ReplicaDriver.key;
import static ottergauge.replica.ReplicaDriver.put;
import static ottergauge.replica.ReplicaDriver.resource;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.PollChanges;
import ottergauge.replica.ReplicaEffect.Report;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.replica.ReplicaEffect.StoreState;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.UnreadableChange;
import ottergauge.resources.UnreadableResource;

class ReplicaTest {

    // ---- Snapshots
    // ----------------------------------------------------------------------------------

    @Test
    void aNodeWithNothingTakesASnapshotOfItsOwnRegionInPacedPages() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        assertEquals(new Address("127.0.0.1", 9002), node.calledAddress());
        assertEquals(Optional.empty(), node.snapshotQuery().from());
        assertEquals(10_000, node.snapshotQuery().maxBytes());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        StartTimer pause = node.timer(ReplicaTimer.DelayElapsed.class);
        assertEquals(200_000, pause.delayMicros(), "2,000 bytes at 10,000 a second");
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(Optional.of(key("b")), node.snapshotQuery().from());
        assertEquals(Optional.of(LOG), node.snapshotQuery().log());
        node.snapshotPageReceived(10, null, resource("b", 6, 1));
        node.assertInForce(10, "{a=1.0, b=1.0}");
        assertTrue(node.last(ApplyState.class).change().full());
        assertEquals(10, node.query().after().version());
    }

    @Test
    void pagesOfSeveralVersionsAreOneStateOnlyWithTheChangesBetween() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(13, null, resource("b", 13, 3));
        assertTrue(node.all(ApplyState.class).isEmpty(), "in force before it is whole");
        assertEquals(new LogPosition(LOG, 10), node.query().after());
        node.changesReceived(12, change(11, put("a", 2)), change(12, put("b", 2)));
        assertTrue(node.all(ApplyState.class).isEmpty(), "in force before it is whole");
        node.changesReceived(14, change(13, put("b", 3)), change(14, put("c", 4)));
        node.assertInForce(14, "{a=2.0, b=3.0, c=4.0}");
        assertEquals(1, node.all(ApplyState.class).size());
    }

    @Test
    void aPageThatIsOlderThanTheFirstIsAskedForElsewhere() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        Address first = node.calledAddress();
        node.snapshotPageReceived(9, null, resource("b", 6, 1));
        assertNotEquals(first, node.calledAddress());
        assertEquals(Optional.of(key("b")), node.snapshotQuery().from());
        node.snapshotPageReceived(10, null, resource("b", 6, 1));
        node.assertInForce(10, "{a=1.0, b=1.0}");
    }

    @Test
    void aSnapshotOfALogThatIsGoneInTheMiddleBeginsAnew() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        // The one that sent the first page, the two others, and that one again.
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    Optional.of(LOG),
                    node.snapshotQuery().log(),
                    "all are asked for the rest first");
            node.snapshotPageReceived("new", 2, null, resource("b", 1, 7));
        }
        assertEquals(Optional.empty(), node.snapshotQuery().log());
        assertEquals(Optional.empty(), node.snapshotQuery().from());
        node.snapshotPageReceived("new", 2, null, resource("c", 1, 7));
        assertEquals("{c=7.0}", node.effectiveVersion().toString());
        assertEquals(new LogPosition("new", 2), node.replica.metrics(node.now).position());
    }

    @Test
    void aPageThatDoesNotAdvanceIsNotTaken() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("b", 5, 1));
        assertEquals(
                Optional.empty(),
                node.snapshotQuery().from(),
                "the page ends before its last entry");
        node.snapshotPageReceived(10, "c", resource("b", 5, 1), resource("a", 5, 1));
        assertEquals(Optional.empty(), node.snapshotQuery().from(), "the page is out of order");
        node.snapshotPageReceived(10, "c", resource("b", 11, 1));
        assertEquals(3, node.reports().stream().filter(each -> each.contains("not taken")).count());
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(10, "c", resource("b", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(10, "c", resource("c", 5, 1));
        node.snapshotPageReceived(10, null, resource("b", 5, 1));
        assertTrue(
                node.all(ApplyState.class).isEmpty(), "pages that begin before what was asked for");
    }

    @Test
    void aBadEntryOfASnapshotKeepsItsLastGoodValue() {
        ReplicaDriver node = ReplicaDriver.following("a", "b", "c");
        node.versionUnavailable(LOG, 90, 100);
        Resource fine = resource("d", 80, 4);
        UnreadableResource unreadable =
                new UnreadableResource(
                        Optional.of(key("b")),
                        new FieldError("resources[1].value", "x", "an object"));
        SnapshotPage page =
                new SnapshotPage(
                        new LogPosition(LOG, 100),
                        List.of(resource("a", 80, -1), fine),
                        Optional.empty(),
                        List.of(unreadable));
        node.handle(new ReplicaEvent.SnapshotPageReceived(node.callNumber(), page, 100));
        node.assertInForce(100, "{a=1.0, b=1.0, d=4.0}");
        assertEquals(100, node.query().rejected());
        assertTrue(
                node.reports()
                        .contains(
                                "resource tenant a is refused: put[0].value.weight is a number "
                                        + "from 0 to 1000000, not -1"),
                node.reports().toString());
        node.changesReceived(101, change(101, put("a", 3)));
        assertEquals("{a=3.0, b=1.0, d=4.0}", node.effectiveVersion().toString());
    }

    @Test
    void whatARefusedChangeLeftInAPageIsTakenBack() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(100, "b", resource("a", 80, 5));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(102, null, resource("b", 102, 6), resource("c", 80, 7));
        node.changesReceived(102, change(101, put("c", 7)), change(102, put("b", 6), put("a", -1)));
        node.assertInForce(102, "{a=5.0, c=7.0}");
        assertEquals(102, node.query().rejected());
    }

    @Test
    void aStateThatIsTooLargeIsNotTakenAndNotFetchedAgainAtOnce() {
        ReplicaDriver node =
                new ReplicaDriver(
                        new ReplicaLimits(2, 1 << 20), new Subscription(Set.of(), "default"));
        node.follow("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(
                100, null, resource("a", 80, 2), resource("b", 80, 2), resource("c", 80, 2));
        node.assertInForce(10, "{a=1.0}");
        assertTrue(node.timer(ReplicaTimer.DelayElapsed.class).delayMicros() >= 30_000_000);
        assertTrue(
                node.reports()
                        .get(node.reports().size() - 1)
                        .startsWith("the state is refused: it has at least 3 resources"),
                node.reports().toString());
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(100, null, resource("a", 80, 2), resource("b", 80, 2));
        node.assertInForce(100, "{a=2.0, b=2.0}");
    }

    @Test
    void aStateWithTooManyBytesIsNotTaken() {
        ReplicaDriver node =
                new ReplicaDriver(
                        new ReplicaLimits(1000, 1_000), new Subscription(Set.of(), "default"));
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(
                100,
                null,
                resource("a".repeat(128), 80, 2),
                resource("b".repeat(128), 80, 2),
                resource("c".repeat(128), 80, 2));
        assertTrue(node.all(ApplyState.class).isEmpty());
    }

    @Test
    void snapshotsThatLeadToNothingAreNotBegunAgainAtOnce() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        int calls = node.all(FetchSnapshotPage.class).size();
        node.snapshotPageReceived(100, null, resource("a", 80, 2));
        node.versionUnavailable(LOG, 190, 200);
        assertEquals(calls, node.all(FetchSnapshotPage.class).size());
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(calls + 1, node.all(FetchSnapshotPage.class).size());
    }

    // ---- Changes
    // ------------------------------------------------------------------------------------

    @Test
    void aPageOfChangesComesInForceAtOnce() {
        ReplicaDriver node = ReplicaDriver.following("a", "b");
        node.changesReceived(
                13,
                change(11, put("a", 2), put("c", 1)),
                change(12, put("a", 3)),
                new Change(13, List.of(), List.of(delete("b"))));
        node.assertInForce(13, "{a=3.0, c=1.0}");
        assertEquals(2, node.all(ApplyState.class).size());
        StateChange change = node.last(ApplyState.class).change();
        assertFalse(change.full());
        assertEquals(
                List.of(
                        new Resource(key("a"), 12, ReplicaDriver.tenant(3)),
                        new Resource(key("c"), 11, ReplicaDriver.tenant(1))),
                change.puts());
        assertEquals(List.of(delete("b")), change.deletes());
        assertEquals(13, node.query().effectiveVersion());
        assertEquals(new LogPosition(LOG, 13), node.query().after());
    }

    @Test
    void aChangeAndItsReverseInOnePageAreNotTakenOver() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(
                14,
                change(11, put("a", 2)),
                change(12, put("a", 1)),
                change(13, put("b", 1)),
                new Change(14, List.of(), List.of(delete("b"))));
        node.assertInForce(14, "{a=1.0}");
        assertEquals(1, node.all(ApplyState.class).size());
        assertEquals(14, node.query().after().version());
    }

    @Test
    void changesThatTheNodeHasAreNotTakenAgain() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(11, change(11, put("a", 2)));
        node.changesReceived(
                12, change(10, put("a", 9)), change(11, put("a", 8)), change(12, put("b", 1)));
        node.assertInForce(12, "{a=2.0, b=1.0}");
    }

    @Test
    void changesOutOfOrderAreNotTaken() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.changesReceived(12, change(12, put("a", 2)), change(11, put("a", 3)));
        node.assertInForce(10, "{a=1.0}");
        assertNotEquals(first, node.calledAddress());
        node.changesReceived(12, change(11, put("a", 3)), change(11, put("a", 2)));
        node.changesReceived(12, change(13, put("a", 3)));
        node.assertInForce(10, "{a=1.0}");
        assertEquals(10, node.query().after().version());
    }

    @Test
    void anAnswerToAnotherCallIsNotTaken() {
        ReplicaDriver node = ReplicaDriver.following("a");
        ChangePage page =
                new ChangePage(new LogPosition(LOG, 11), List.of(change(11, put("a", 2))));
        long call = node.callNumber();
        node.fire(ReplicaTimer.CallTimeout.class);
        node.handle(new ReplicaEvent.ChangesReceived(call, page));
        node.assertInForce(10, "{a=1.0}");
        node.changesReceived(page);
        long calls = node.all(PollChanges.class).size();
        node.handle(new ReplicaEvent.ChangesReceived(node.callNumber() - 1, page));
        assertEquals(calls, node.all(PollChanges.class).size());
    }

    @Test
    void aBadChangeIsRefusedWholeAndALaterOneSetsWhatItTouched() {
        ReplicaDriver node = ReplicaDriver.following("a", "b", "c");
        node.changesReceived(
                12,
                new Change(11, List.of(put("a", 2), put("b", -1)), List.of(delete("c"))),
                change(12, put("d", 1)));
        node.assertInForce(12, "{a=1.0, b=1.0, c=1.0, d=1.0}");
        assertEquals(11, node.query().rejected());
        assertEquals(
                List.of(
                        "change 11 is refused: put[1].value.weight is a number from 0 to 1000000, "
                                + "not -1"),
                node.reports().stream().filter(each -> each.contains("refused")).toList());
        node.changesReceived(13, change(13, put("b", 4)));
        assertEquals("{a=1.0, b=4.0, c=1.0, d=1.0}", node.effectiveVersion().toString());
    }

    @Test
    void aChangeThatCouldNotBeReadIsRefusedByItsVersion() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(
                new ChangePage(
                        new LogPosition(LOG, 13),
                        List.of(change(11, put("a", 2)), change(13, put("b", 1))),
                        List.of(
                                new UnreadableChange(
                                        12,
                                        new FieldError(
                                                "put[0].kind",
                                                "star",
                                                "service, server, route, tenant or settings")))));
        node.assertInForce(13, "{a=2.0, b=1.0}");
        assertEquals(12, node.query().rejected());
        assertTrue(
                node.reports()
                        .contains(
                                "change 12 is refused: put[0].kind is service, server, route, "
                                        + "tenant or settings, not star"),
                node.reports().toString());
    }

    @Test
    void aChangeThatMakesTheStateTooLargeIsRefused() {
        ReplicaDriver node =
                new ReplicaDriver(
                        new ReplicaLimits(2, 1 << 20), new Subscription(Set.of(), "default"));
        node.follow("a");
        node.changesReceived(
                13,
                change(11, put("b", 1), put("c", 1)),
                change(12, put("b", 2)),
                change(13, put("a", 3)));
        node.assertInForce(13, "{a=3.0, b=2.0}");
        assertEquals(11, node.query().rejected());
        node.changesReceived(14, new Change(14, List.of(put("c", 1)), List.of(delete("a"))));
        assertEquals("{b=2.0, c=1.0}", node.effectiveVersion().toString());
    }

    @Test
    void whatIsNotFollowedIsPassedOver() {
        Subscription one = new Subscription(Set.of("mine"), "default");
        ReplicaDriver node = new ReplicaDriver(ReplicaLimits.DEFAULT, one);
        node.follow("a");
        ResourceKey route = new ResourceKey(ResourceKind.ROUTE, "r");
        node.changesReceived(
                11, change(11, new Change.Put(route, new ResourceValue.Route("mine", "/", "c"))));
        assertEquals(1, node.last(ApplyState.class).change().puts().size());
        node.changesReceived(
                12, change(12, new Change.Put(route, new ResourceValue.Route("other", "/", "c"))));
        assertEquals(
                List.of(new Change.Delete(route, "mine")),
                node.last(ApplyState.class).change().deletes());
    }

    // ---- Which process is asked
    // -----------------------------------------------------------------------

    @Test
    void aProcessThatLagsBehindTheNodeIsNotFollowed() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.versionUnavailable(LOG, 1, 9);
        assertNotEquals(first, node.calledAddress());
        assertEquals(10, node.query().after().version());
        node.changesReceived(9);
        node.versionUnavailable(LOG, 1, 9);
        node.versionUnavailable(LOG, 1, 9);
        assertEquals(new LogPosition(LOG, 10), node.replica.metrics(node.now).position());
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(10, node.query().after().version());
        assertEquals(1, node.all(FetchSnapshotPage.class).size(), "the one at the start");
    }

    @Test
    void aSnapshotOfAProcessThatLagsBehindTheNodeIsNotTaken() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(9, null, resource("a", 5, 8));
        node.assertInForce(10, "{a=1.0}");
        node.snapshotPageReceived(100, null, resource("a", 50, 2));
        node.assertInForce(100, "{a=2.0}");
    }

    @Test
    void anotherLogIsFollowedOnceNoProcessHasTheNodes() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable("new", 1, 3);
        assertEquals(LOG, node.query().after().log(), "another process may have it");
        node.versionUnavailable("new", 1, 3);
        node.failed();
        assertEquals(LOG, node.query().after().log(), "the first one again");
        node.versionUnavailable("new", 1, 3);
        assertEquals(Optional.empty(), node.snapshotQuery().log());
        node.snapshotPageReceived("new", 3, null, resource("a", 2, 9));
        assertEquals("{a=9.0}", node.effectiveVersion().toString());
        assertEquals(new LogPosition("new", 3), node.replica.metrics(node.now).position());
        assertFalse(node.last(ApplyState.class).change().full(), "only what differs");
    }

    @Test
    void aCallThatIsSilentIsGivenUpAndMadeElsewhere() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        long call = node.callNumber();
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(call, node.last(CancelCall.class).call());
        assertNotEquals(first, node.calledAddress());
        assertTrue(node.query().waitMicros() < 200_000, "the first call there hardly waits");
        assertEquals(
                "a call to " + first + " had no answer in time",
                node.reports().get(node.reports().size() - 1));
    }

    @Test
    void afterAWholeRoundThereIsAPauseThatGrowsAndIsBounded() {
        ReplicaDriver node = ReplicaDriver.following("a");
        long max = 0;
        node.failed();
        for (int round = 0; round < 8; round++) {
            int timers = node.all(StartTimer.class).size();
            for (int i = 0; i < 3; i++) {
                node.failed();
            }
            StartTimer pause = node.timer(ReplicaTimer.DelayElapsed.class);
            assertTrue(
                    node.all(StartTimer.class).indexOf(pause) >= timers,
                    "a pause after each round");
            assertTrue(pause.delayMicros() >= 300_000, "a pause of " + pause.delayMicros());
            assertTrue(pause.delayMicros() <= 1_800_000, "a pause of " + pause.delayMicros());
            max = Math.max(max, pause.delayMicros());
            node.fire(ReplicaTimer.DelayElapsed.class);
        }
        assertTrue(max >= 900_000, "the longest pause was " + max);
    }

    @Test
    void theNodeReturnsToItsFirstProcessAfterAWhile() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.failed();
        Address second = node.calledAddress();
        node.changesReceived(10);
        assertEquals(second, node.calledAddress());
        node.fire(ReplicaTimer.FailBackDue.class);
        assertEquals(first, node.calledAddress());
        node.failed();
        assertEquals(second, node.calledAddress(), "back to the one that answered");
        node.changesReceived(10);
        node.fire(ReplicaTimer.FailBackDue.class);
        assertEquals(first, node.calledAddress());
        node.changesReceived(10);
        assertEquals(first, node.calledAddress());
    }

    // ---- Time
    // ---------------------------------------------------------------------------------------

    @Test
    void anEmptyAnswerThatComesAtOnceIsNotFollowedByACallAtOnce() {
        ReplicaDriver node = ReplicaDriver.following("a");
        int calls = node.all(PollChanges.class).size();
        node.changesReceived(10);
        assertEquals(calls, node.all(PollChanges.class).size());
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(calls + 1, node.all(PollChanges.class).size());
        node.now += node.query().waitMicros();
        node.changesReceived(10);
        assertEquals(calls + 2, node.all(PollChanges.class).size());
    }

    @Test
    void aNodeThatStoodStillReadsTheAnswerThatIsThere() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.now += 10_000_000;
        node.handle(
                new ReplicaEvent.TimerFired(node.timer(ReplicaTimer.CallTimeout.class).timer()));
        assertTrue(node.all(CancelCall.class).isEmpty(), "given up unread");
        node.changesReceived(11, change(11, put("a", 2)));
        node.assertInForce(11, "{a=2.0}");
        assertEquals(first, node.calledAddress());
    }

    @Test
    void aNodeThatStoodStillGivesUpACallThatIsSilentAllTheSame() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.now += 10_000_000;
        node.handle(
                new ReplicaEvent.TimerFired(node.timer(ReplicaTimer.CallTimeout.class).timer()));
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(1, node.all(CancelCall.class).size());
    }

    @Test
    void aClockSetBackChangesNothing() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.now -= 3_600_000_000L;
        assertEquals(0, node.replica.metrics(node.now).ageMicros());
        node.changesReceived(11, change(11, put("a", 2)));
        node.assertInForce(11, "{a=2.0}");
        node.changesReceived(11);
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(1, node.all(CancelCall.class).size());
    }

    @Test
    void theFiguresTellHowOldTheStateIs() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(10);
        node.now += 2_000_000;
        node.failed();
        ReplicaMetrics metrics = node.replica.metrics(node.now);
        assertEquals(2_000_000, metrics.ageMicros());
        assertEquals(1, metrics.resources());
        assertTrue(metrics.bytes() > 100);
    }

    // ---- What is kept
    // -------------------------------------------------------------------------------

    @Test
    void theStateIsHandedOutOnceInAnIntervalAndAtTheEnd() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(11, change(11, put("a", 2)));
        assertTrue(node.all(StoreState.class).isEmpty());
        assertEquals(
                1,
                node.all(StartTimer.class).stream()
                        .filter(each -> each.timer() instanceof ReplicaTimer.StoreStateDue)
                        .count());
        node.fire(ReplicaTimer.StoreStateDue.class);
        assertEquals(new LogPosition(LOG, 11), node.last(StoreState.class).state().position());
        node.handle(new ReplicaEvent.Stopped());
        assertEquals(1, node.all(StoreState.class).size(), "nothing has changed since");
        assertEquals(node.callNumber(), node.last(CancelCall.class).call());

        ReplicaDriver other = ReplicaDriver.following("a");
        other.handle(new ReplicaEvent.Stopped());
        assertEquals(
                List.of(resource("a", 5, 1)), other.last(StoreState.class).state().resources());
        int effects = other.effects.size();
        other.fire(ReplicaTimer.StoreStateDue.class);
        other.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(effects, other.effects.size(), "nothing comes after the end");
    }

    @Test
    void aNodeThatStartsAgainResumesByVersion() {
        ReplicaDriver node = new ReplicaDriver();
        Subscription all = new Subscription(Set.of(), "default");
        node.replica.start(
                node.now,
                Optional.of(
                        new StoredState(
                                new LogPosition(LOG, 42), all, List.of(resource("a", 40, 1)))));
        node.assertInForce(42, "{a=1.0}");
        assertTrue(node.last(ApplyState.class).change().full());
        assertEquals(new LogPosition(LOG, 42), node.query().after());
        assertTrue(node.all(FetchSnapshotPage.class).isEmpty());
    }

    @Test
    void aKeptStateOfAnotherSubscriptionOrWithABadEntryIsServedButNotResumed() {
        Subscription other = new Subscription(Set.of("one"), "default");
        LogPosition position = new LogPosition(LOG, 42);
        Subscription all = new Subscription(Set.of(), "default");
        for (StoredState stored :
                List.of(
                        new StoredState(position, other, List.of(resource("a", 40, 1))),
                        new StoredState(
                                position,
                                all,
                                List.of(resource("a", 40, 1), resource("b", 40, -1))))) {
            ReplicaDriver node = new ReplicaDriver();
            node.replica.start(node.now, Optional.of(stored));
            node.assertInForce(42, "{a=1.0}");
            node.snapshotPageReceived(41, null, resource("a", 40, 1));
            assertEquals(1, node.all(ApplyState.class).size(), "an older state of the same log");
            node.snapshotPageReceived(43, null, resource("a", 40, 1), resource("b", 43, 2));
            assertEquals("{a=1.0, b=2.0}", node.effectiveVersion().toString());
        }
    }

    @Test
    void eachReportIsOneLine() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(12, change(11, put("a", -1)));
        node.versionUnavailable("new", 1, 3);
        node.failed();
        node.failed();
        assertFalse(node.all(Report.class).isEmpty());
        node.reports()
                .forEach(
                        each ->
                                assertFalse(
                                        each.contains("\n") || each.contains("LogPosition"), each));
    }
}
