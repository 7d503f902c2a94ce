// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.replica.ReplicaDriver.LOG;
import static ottergauge.replica.ReplicaDriver.change;
import static ottergauge.replica.ReplicaDriver.put;
import static ottergauge.replica.ReplicaDriver.resource;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.replica.ReplicaEffect.StoreState;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/** Tests storing the effective state and starting from a stored state. */
class ReplicaStoredStateTest {

    @Test
    void changedState_isStoredOncePerIntervalAndOnStop() {
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
        assertEquals(1, node.all(StoreState.class).size(), "no change since the last stored state");
        assertEquals(node.callNumber(), node.last(CancelCall.class).call());

        ReplicaDriver other = ReplicaDriver.following("a");
        other.handle(new ReplicaEvent.Stopped());
        assertEquals(
                List.of(resource("a", 5, 1)), other.last(StoreState.class).state().resources());
        int effects = other.effects.size();
        other.fire(ReplicaTimer.StoreStateDue.class);
        other.fire(ReplicaTimer.CallTimeout.class);
        assertEquals(effects, other.effects.size(), "effects after the replica stopped");
    }

    @Test
    void storedState_resumesByVersion() {
        ReplicaDriver node = new ReplicaDriver();
        Subscription all = new Subscription(Set.of(), "default");
        node.replica.start(
                node.now,
                Optional.of(
                        new StoredState(
                                new LogPosition(LOG, 42), all, List.of(resource("a", 40, 1)))));
        node.assertEffective(42, "{a=1.0}");
        assertTrue(node.last(ApplyState.class).change().full());
        assertEquals(new LogPosition(LOG, 42), node.query().after());
        assertTrue(node.all(FetchSnapshotPage.class).isEmpty());
    }

    @Test
    void storedStateOfOtherSubscriptionOrWithInvalidEntry_takesEffectAndIsFetchedAgain() {
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
            node.assertEffective(42, "{a=1.0}");
            node.snapshotPageReceived(41, null, resource("a", 40, 1));
            assertEquals(1, node.all(ApplyState.class).size(), "an older state of the same log");
            node.snapshotPageReceived(43, null, resource("a", 40, 1), resource("b", 43, 2));
            assertEquals("{a=1.0, b=2.0}", node.effectiveTenants().toString());
        }
    }
}
