// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import ottergauge.protocol.Address;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.VersionUnavailable;

/**
 * Drives a replica step by step: responds to its calls, fires its timers and records its effects.
 */
final class ReplicaDriver {

    static final long PROPAGATION_DEADLINE_MICROS = 4_800_000;
    static final long BYTES_PER_SECOND = 10_000;
    static final String LOG = "log";

    final List<ReplicaEffect> effects = new ArrayList<>();
    final Replica replica;
    long now = 1_000_000;

    ReplicaDriver() {
        this(ReplicaLimits.DEFAULT, new Subscription(Set.of(), "default"));
    }

    ReplicaDriver(ReplicaLimits limits, Subscription subscription) {
        List<ControlEndpoint> addresses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            addresses.add(new ControlEndpoint(new Address("127.0.0.1", 9001 + i), "r" + i));
        }
        replica =
                new Replica(
                        new ReplicaConfig(
                                "n1",
                                "r1",
                                addresses,
                                subscription,
                                PROPAGATION_DEADLINE_MICROS,
                                BYTES_PER_SECOND,
                                30_000_000,
                                limits),
                        7,
                        ResourceValidator::firstError,
                        effects::add);
    }

    /** Creates a driver whose replica follows changes after version 10 and has these tenants. */
    static ReplicaDriver following(String... tenants) {
        ReplicaDriver driver = new ReplicaDriver();
        driver.follow(tenants);
        return driver;
    }

    void follow(String... tenants) {
        replica.start(now, Optional.empty());
        List<Resource> resources = new ArrayList<>();
        for (String tenant : tenants) {
            resources.add(new Resource(key(tenant), 5, tenant(1)));
        }
        snapshotPageReceived(10, null, resources.toArray(Resource[]::new));
    }

    static ResourceKey key(String tenant) {
        return new ResourceKey(ResourceKind.TENANT, tenant);
    }

    static ResourceValue tenant(double weight) {
        return new ResourceValue.Tenant(0, 0, 0, weight);
    }

    static Change.Put put(String tenant, double weight) {
        return new Change.Put(key(tenant), tenant(weight));
    }

    static Change.Delete delete(String tenant) {
        return new Change.Delete(key(tenant), "");
    }

    static Change change(long version, Change.Put... puts) {
        return new Change(version, List.of(puts), List.of());
    }

    <T extends ReplicaEffect> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends ReplicaEffect> T last(Class<T> type) {
        List<T> all = all(type);
        assertTrue(!all.isEmpty(), "none of " + type.getSimpleName() + " in " + effects);
        return all.get(all.size() - 1);
    }

    /** The most recent call. */
    ReplicaEffect lastCall() {
        return effects.stream()
                .filter(
                        each ->
                                each instanceof ReplicaEffect.PollChanges
                                        || each instanceof ReplicaEffect.FetchSnapshotPage)
                .reduce((one, other) -> other)
                .orElseThrow();
    }

    long callNumber() {
        return lastCall() instanceof ReplicaEffect.PollChanges call
                ? call.call()
                : ((ReplicaEffect.FetchSnapshotPage) lastCall()).call();
    }

    Address calledAddress() {
        return lastCall() instanceof ReplicaEffect.PollChanges call
                ? call.endpoint()
                : ((ReplicaEffect.FetchSnapshotPage) lastCall()).endpoint();
    }

    ChangesQuery query() {
        assertTrue(
                lastCall() instanceof ReplicaEffect.PollChanges,
                "calls for changes: " + lastCall());
        return ((ReplicaEffect.PollChanges) lastCall()).query();
    }

    SnapshotQuery snapshotQuery() {
        assertTrue(
                lastCall() instanceof ReplicaEffect.FetchSnapshotPage,
                "calls for a snapshot: " + lastCall());
        return ((ReplicaEffect.FetchSnapshotPage) lastCall()).query();
    }

    void handle(ReplicaEvent event) {
        replica.handle(now, event);
    }

    void changesReceived(long upTo, Change... changes) {
        changesReceived(new ChangePage(new LogPosition(LOG, upTo), List.of(changes)));
    }

    void changesReceived(ChangePage page) {
        handle(new ReplicaEvent.ChangesReceived(callNumber(), page));
    }

    /** Delivers a snapshot page of this version; {@code next} is null for the last page. */
    void snapshotPageReceived(long version, String next, Resource... resources) {
        snapshotPageReceived(LOG, version, next, resources);
    }

    void snapshotPageReceived(String log, long version, String next, Resource... resources) {
        handle(
                new ReplicaEvent.SnapshotPageReceived(
                        callNumber(),
                        new SnapshotPage(
                                new LogPosition(log, version),
                                List.of(resources),
                                Optional.ofNullable(next).map(ReplicaDriver::key)),
                        2_000));
    }

    static Resource resource(String tenant, long version, double weight) {
        return new Resource(key(tenant), version, tenant(weight));
    }

    void versionUnavailable(String log, long oldest, long newest) {
        handle(
                new ReplicaEvent.VersionUnavailableReceived(
                        callNumber(), new VersionUnavailable(log, oldest, newest)));
    }

    void failed() {
        handle(new ReplicaEvent.CallFailed(callNumber()));
    }

    /** Advances the clock to the time of the most recent timer of this type and fires it. */
    <T extends ReplicaTimer> void fire(Class<T> type) {
        ReplicaEffect.StartTimer timer = timer(type);
        now += timer.delayMicros();
        handle(new ReplicaEvent.TimerFired(timer.timer()));
    }

    <T extends ReplicaTimer> ReplicaEffect.StartTimer timer(Class<T> type) {
        return all(ReplicaEffect.StartTimer.class).stream()
                .filter(each -> type.isInstance(each.timer()))
                .reduce((one, other) -> other)
                .orElseThrow();
    }

    /** The weights of the effective tenants by name, after all state changes so far. */
    SortedMap<String, Double> effectiveTenants() {
        SortedMap<String, Double> tenants = new TreeMap<>();
        for (ReplicaEffect.ApplyState applyState : all(ReplicaEffect.ApplyState.class)) {
            applyState
                    .change()
                    .puts()
                    .forEach(
                            each ->
                                    tenants.put(
                                            each.key().name(),
                                            ((ResourceValue.Tenant) each.value()).weight()));
            applyState.change().deletes().forEach(each -> tenants.remove(each.key().name()));
        }
        return tenants;
    }

    List<String> reports() {
        return all(ReplicaEffect.Report.class).stream()
                .map(each -> each.report().toString())
                .toList();
    }

    void assertEffective(long version, String tenants) {
        assertEquals(tenants, effectiveTenants().toString());
        assertEquals(new LogPosition(LOG, version), replica.metrics(now).position());
    }
}
