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

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.PollChanges;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Subscription;
import ottergauge.resources.UnreadableChange;

/** Tests when changes take effect and which changes are rejected. */
class ReplicaChangesTest {

    @Test
    void pageOfChanges_takesEffectAsAUnit() {
        ReplicaDriver node = ReplicaDriver.following("a", "b");
        node.changesReceived(
                13,
                change(11, put("a", 2), put("c", 1)),
                change(12, put("a", 3)),
                new Change(13, List.of(), List.of(delete("b"))));
        node.assertEffective(13, "{a=3.0, c=1.0}");
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
    void changeRevertedInTheSamePage_hasNoEffect() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(
                14,
                change(11, put("a", 2)),
                change(12, put("a", 1)),
                change(13, put("b", 1)),
                new Change(14, List.of(), List.of(delete("b"))));
        node.assertEffective(14, "{a=1.0}");
        assertEquals(1, node.all(ApplyState.class).size());
        assertEquals(14, node.query().after().version());
    }

    @Test
    void changesUpToEffectiveVersion_areIgnored() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(11, change(11, put("a", 2)));
        node.changesReceived(
                12, change(10, put("a", 9)), change(11, put("a", 8)), change(12, put("b", 1)));
        node.assertEffective(12, "{a=2.0, b=1.0}");
    }

    @Test
    void changesOutOfOrder_areRejected() {
        ReplicaDriver node = ReplicaDriver.following("a");
        Address first = node.calledAddress();
        node.changesReceived(12, change(12, put("a", 2)), change(11, put("a", 3)));
        node.assertEffective(10, "{a=1.0}");
        assertNotEquals(first, node.calledAddress());
        node.changesReceived(12, change(11, put("a", 3)), change(11, put("a", 2)));
        node.changesReceived(12, change(13, put("a", 3)));
        node.assertEffective(10, "{a=1.0}");
        assertEquals(10, node.query().after().version());
    }

    @Test
    void responseToEarlierCall_isIgnored() {
        ReplicaDriver node = ReplicaDriver.following("a");
        ChangePage page =
                new ChangePage(new LogPosition(LOG, 11), List.of(change(11, put("a", 2))));
        long call = node.callNumber();
        node.fire(ReplicaTimer.CallTimeout.class);
        node.handle(new ReplicaEvent.ChangesReceived(call, page));
        node.assertEffective(10, "{a=1.0}");
        node.changesReceived(page);
        long calls = node.all(PollChanges.class).size();
        node.handle(new ReplicaEvent.ChangesReceived(node.callNumber() - 1, page));
        assertEquals(calls, node.all(PollChanges.class).size());
    }

    @Test
    void invalidChange_isRejectedCompletelyUntilALaterOneReplacesIt() {
        ReplicaDriver node = ReplicaDriver.following("a", "b", "c");
        node.changesReceived(
                12,
                new Change(11, List.of(put("a", 2), put("b", -1)), List.of(delete("c"))),
                change(12, put("d", 1)));
        node.assertEffective(12, "{a=1.0, b=1.0, c=1.0, d=1.0}");
        assertEquals(11, node.query().rejectedVersion());
        assertEquals(
                List.of(
                        "change 11 rejected: put[1].value.weight is a number from 0 to 1000000, "
                                + "not -1"),
                node.reports().stream().filter(each -> each.contains("rejected")).toList());
        node.changesReceived(13, change(13, put("b", 4)));
        assertEquals("{a=1.0, b=4.0, c=1.0, d=1.0}", node.effectiveTenants().toString());
    }

    @Test
    void unreadableChange_isRejectedByItsVersion() {
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
        node.assertEffective(13, "{a=2.0, b=1.0}");
        assertEquals(12, node.query().rejectedVersion());
        assertTrue(
                node.reports()
                        .contains(
                                "change 12 rejected: put[0].kind is service, server, route, "
                                        + "tenant or settings, not star"),
                node.reports().toString());
    }

    @Test
    void changeOverResourceLimit_isRejected() {
        ReplicaDriver node =
                new ReplicaDriver(
                        new ReplicaLimits(2, 1 << 20), new Subscription(Set.of(), "default"));
        node.follow("a");
        node.changesReceived(
                13,
                change(11, put("b", 1), put("c", 1)),
                change(12, put("b", 2)),
                change(13, put("a", 3)));
        node.assertEffective(13, "{a=3.0, b=2.0}");
        assertEquals(11, node.query().rejectedVersion());
        node.changesReceived(14, new Change(14, List.of(put("c", 1)), List.of(delete("a"))));
        assertEquals("{b=2.0, c=1.0}", node.effectiveTenants().toString());
    }

    @Test
    void resourceThatLeavesTheSubscription_isDeleted() {
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
}
