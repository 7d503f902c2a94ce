// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.replica.ReplicaDriver.LOG;
import static ottergauge.replica.ReplicaDriver.change;
import static ottergauge.replica.ReplicaDriver.key;
import static ottergauge.replica.ReplicaDriver.put;
import static ottergauge.replica.ReplicaDriver.resource;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.UnreadableResource;

/** Tests fetching of snapshots: paging, consistency, rejection and limits. */
class ReplicaSnapshotTest {

    @Test
    void startWithoutStoredState_fetchesPacedPagesFromOwnRegion() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        assertEquals(new Address("127.0.0.1", 9002), node.calledAddress());
        assertEquals(Optional.empty(), node.snapshotQuery().from());
        assertEquals(10_000, node.snapshotQuery().maxBytes());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        StartTimer pacing = node.timer(ReplicaTimer.DelayElapsed.class);
        assertEquals(200_000, pacing.delayMicros(), "2,000 bytes at 10,000 a second");
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(Optional.of(key("b")), node.snapshotQuery().from());
        assertEquals(Optional.of(LOG), node.snapshotQuery().log());
        node.snapshotPageReceived(10, null, resource("b", 6, 1));
        node.assertEffective(10, "{a=1.0, b=1.0}");
        assertTrue(node.last(ApplyState.class).change().full());
        assertEquals(10, node.query().after().version());
    }

    @Test
    void pagesOfSeveralVersions_takeEffectOnlyWithTheChangesInBetween() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(13, null, resource("b", 13, 3));
        assertTrue(node.all(ApplyState.class).isEmpty(), "effective before it is complete");
        assertEquals(new LogPosition(LOG, 10), node.query().after());
        node.changesReceived(12, change(11, put("a", 2)), change(12, put("b", 2)));
        assertTrue(node.all(ApplyState.class).isEmpty(), "effective before it is complete");
        node.changesReceived(14, change(13, put("b", 3)), change(14, put("c", 4)));
        node.assertEffective(14, "{a=2.0, b=3.0, c=4.0}");
        assertEquals(1, node.all(ApplyState.class).size());
    }

    @Test
    void pageOlderThanTheFirst_isFetchedFromAnotherProcess() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        Address first = node.calledAddress();
        node.snapshotPageReceived(9, null, resource("b", 6, 1));
        assertNotEquals(first, node.calledAddress());
        assertEquals(Optional.of(key("b")), node.snapshotQuery().from());
        node.snapshotPageReceived(10, null, resource("b", 6, 1));
        node.assertEffective(10, "{a=1.0, b=1.0}");
    }

    @Test
    void logLostDuringSnapshot_restartsWithTheNewLog() {
        ReplicaDriver node = new ReplicaDriver();
        node.replica.start(node.now, Optional.empty());
        node.snapshotPageReceived(10, "b", resource("a", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        // The replica asks the process that sent the first page, then two other processes, and then
        // the first process again.
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    Optional.of(LOG),
                    node.snapshotQuery().log(),
                    "all processes are first queried for the remaining pages");
            node.snapshotPageReceived("new", 2, null, resource("b", 1, 7));
        }
        assertEquals(Optional.empty(), node.snapshotQuery().log());
        assertEquals(Optional.empty(), node.snapshotQuery().from());
        node.snapshotPageReceived("new", 2, null, resource("c", 1, 7));
        assertEquals("{c=7.0}", node.effectiveTenants().toString());
        assertEquals(new LogPosition("new", 2), node.replica.metrics(node.now).position());
    }

    @Test
    void pageOutOfOrder_isRejected() {
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
        assertEquals(
                3, node.reports().stream().filter(each -> each.startsWith("response of ")).count());
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(10, "c", resource("b", 5, 1));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(10, "c", resource("c", 5, 1));
        node.snapshotPageReceived(10, null, resource("b", 5, 1));
        assertTrue(node.all(ApplyState.class).isEmpty(), "pages that begin before the queried key");
    }

    @Test
    void invalidEntryOfSnapshot_keepsItsEffectiveValue() {
        ReplicaDriver node = ReplicaDriver.following("a", "b", "c");
        node.versionUnavailable(LOG, 90, 100);
        Resource valid = resource("d", 80, 4);
        UnreadableResource unreadable =
                new UnreadableResource(
                        Optional.of(key("b")),
                        new FieldError("resources[1].value", "x", "an object"));
        SnapshotPage page =
                new SnapshotPage(
                        new LogPosition(LOG, 100),
                        List.of(resource("a", 80, -1), valid),
                        Optional.empty(),
                        List.of(unreadable));
        node.handle(new ReplicaEvent.SnapshotPageReceived(node.callNumber(), page, 100));
        node.assertEffective(100, "{a=1.0, b=1.0, d=4.0}");
        assertEquals(100, node.query().rejectedVersion());
        assertTrue(
                node.reports()
                        .contains(
                                "resource tenant a rejected: put[0].value.weight is a number "
                                        + "from 0 to 1000000, not -1"),
                node.reports().toString());
        node.changesReceived(101, change(101, put("a", 3)));
        assertEquals("{a=3.0, b=1.0, d=4.0}", node.effectiveTenants().toString());
    }

    @Test
    void valueOfInvalidChangeInPage_isRemoved() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(100, "b", resource("a", 80, 5));
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(102, null, resource("b", 102, 6), resource("c", 80, 7));
        node.changesReceived(102, change(101, put("c", 7)), change(102, put("b", 6), put("a", -1)));
        node.assertEffective(102, "{a=5.0, c=7.0}");
        assertEquals(102, node.query().rejectedVersion());
    }

    @Test
    void snapshotOverResourceLimit_isRejectedAndBackedOff() {
        ReplicaDriver node =
                new ReplicaDriver(
                        new ReplicaLimits(2, 1 << 20), new Subscription(Set.of(), "default"));
        node.follow("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(
                100, null, resource("a", 80, 2), resource("b", 80, 2), resource("c", 80, 2));
        node.assertEffective(10, "{a=1.0}");
        assertTrue(node.timer(ReplicaTimer.DelayElapsed.class).delayMicros() >= 30_000_000);
        assertTrue(
                node.reports()
                        .get(node.reports().size() - 1)
                        .startsWith("snapshot rejected: it has at least 3 resources"),
                node.reports().toString());
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.snapshotPageReceived(100, null, resource("a", 80, 2), resource("b", 80, 2));
        node.assertEffective(100, "{a=2.0, b=2.0}");
    }

    @Test
    void snapshotOverByteLimit_isRejected() {
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
    void repeatedSnapshots_areBackedOff() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        int calls = node.all(FetchSnapshotPage.class).size();
        node.snapshotPageReceived(100, null, resource("a", 80, 2));
        node.versionUnavailable(LOG, 190, 200);
        assertEquals(calls, node.all(FetchSnapshotPage.class).size());
        node.fire(ReplicaTimer.DelayElapsed.class);
        assertEquals(calls + 1, node.all(FetchSnapshotPage.class).size());
    }

    @Test
    void snapshotOlderThanEffectiveState_isRejected() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable(LOG, 90, 100);
        node.snapshotPageReceived(9, null, resource("a", 5, 8));
        node.assertEffective(10, "{a=1.0}");
        node.snapshotPageReceived(100, null, resource("a", 50, 2));
        node.assertEffective(100, "{a=2.0}");
    }
}
