// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.replica.ReplicaDriver.LOG;
import static ottergauge.replica.ReplicaDriver.change;
import static ottergauge.replica.ReplicaDriver.put;
import static ottergauge.replica.ReplicaDriver.resource;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.PollChanges;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.resources.LogPosition;

/**
 * Tests which control process a replica calls and when: fail-over, back-off, timeouts and
 * fail-back.
 */
class ReplicaFailoverTest {

    @Test
    void processBehindTheNode_isSkipped() {
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
        assertEquals(1, node.all(FetchSnapshotPage.class).size(), "only the snapshot at the start");
    }

    @Test
    void otherLog_isFetchedOnceNoProcessHasTheCurrentLog() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.versionUnavailable("new", 1, 3);
        assertEquals(LOG, node.query().after().log(), "another process may still have the log");
        node.versionUnavailable("new", 1, 3);
        node.failed();
        assertEquals(LOG, node.query().after().log(), "the first process again");
        node.versionUnavailable("new", 1, 3);
        assertEquals(Optional.empty(), node.snapshotQuery().log());
        node.snapshotPageReceived("new", 3, null, resource("a", 2, 9));
        assertEquals("{a=9.0}", node.effectiveTenants().toString());
        assertEquals(new LogPosition("new", 3), node.replica.metrics(node.now).position());
        assertFalse(node.last(ApplyState.class).change().full(), "only the differences");
    }

    @Test
    void callTimeout_cancelsAndCallsTheNextProcess() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        long call = node.callNumber();
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(call, node.last(CancelCall.class).call());
        assertNotEquals(first, node.calledAddress());
        assertTrue(
                node.query().waitMicros() < 200_000,
                "the first call to a process has a short wait");
        assertEquals(
                "call to " + first + " timed out", node.reports().get(node.reports().size() - 1));
    }

    @Test
    void failedRounds_areFollowedByBoundedGrowingBackOff() {
        ReplicaDriver node = ReplicaDriver.following("a");
        long longest = 0;
        node.failed();
        for (int round = 0; round < 8; round++) {
            int timers = node.all(StartTimer.class).size();
            for (int i = 0; i < 3; i++) {
                node.failed();
            }
            StartTimer backOff = node.timer(ReplicaTimer.DelayElapsed.class);
            assertTrue(
                    node.all(StartTimer.class).indexOf(backOff) >= timers,
                    "a back-off after each round");
            assertTrue(backOff.delayMicros() >= 300_000, "a back-off of " + backOff.delayMicros());
            assertTrue(
                    backOff.delayMicros() <= 1_800_000, "a back-off of " + backOff.delayMicros());
            longest = Math.max(longest, backOff.delayMicros());
            node.fire(ReplicaTimer.DelayElapsed.class);
        }
        assertTrue(longest >= 900_000, "the longest back-off was " + longest);
    }

    @Test
    void failBackTimer_returnsToThePreferredProcess() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.failed();
        Address second = node.calledAddress();
        node.changesReceived(10);
        assertEquals(second, node.calledAddress());
        node.fire(ReplicaTimer.FailBackDue.class);
        assertEquals(first, node.calledAddress());
        node.failed();
        assertEquals(second, node.calledAddress(), "back to the process that responded");
        node.changesReceived(10);
        node.fire(ReplicaTimer.FailBackDue.class);
        assertEquals(first, node.calledAddress());
        node.changesReceived(10);
        assertEquals(first, node.calledAddress());
    }

    @Test
    void earlyEmptyResponse_delaysTheNextPoll() {
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
    void timeoutAfterStall_extendsTheDeadlineOnce() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.now += 10_000_000;
        node.handle(
                new ReplicaEvent.TimerFired(node.timer(ReplicaTimer.CallTimeout.class).timer()));
        assertTrue(node.all(CancelCall.class).isEmpty(), "cancelled before the response was read");
        node.changesReceived(11, change(11, put("a", 2)));
        node.assertEffective(11, "{a=2.0}");
        assertEquals(first, node.calledAddress());
    }

    @Test
    void extendedDeadline_cancelsTheCall() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.now += 10_000_000;
        node.handle(
                new ReplicaEvent.TimerFired(node.timer(ReplicaTimer.CallTimeout.class).timer()));
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(1, node.all(CancelCall.class).size());
    }

    @Test
    void clockSetBack_changesNothing() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.now -= 3_600_000_000L;
        assertEquals(0, node.replica.metrics(node.now).ageMicros());
        node.changesReceived(11, change(11, put("a", 2)));
        node.assertEffective(11, "{a=2.0}");
        node.changesReceived(11);
        node.fire(ReplicaTimer.DelayElapsed.class);
        node.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(1, node.all(CancelCall.class).size());
    }
}
