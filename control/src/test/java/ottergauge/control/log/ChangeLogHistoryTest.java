// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.ResourceValue.Tenant;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

/**
 * Tests with random histories: compares the log with a simple model, and the state of subscribers
 * with that of the log.
 */
class ChangeLogHistoryTest {

    private static final String LOG = "a1";
    private static final LogRetention LARGE_RETENTION = new LogRetention(10_000, 1 << 24);

    /**
     * The minimum percentage of generated histories that have to be large enough for a meaningful
     * test.
     */
    private static final double MIN_LARGE_HISTORIES_PERCENT = 10;

    private static final List<String> SERVICES = List.of("checkout", "search", "mail");

    /**
     * One entry of a submission. There are only a few names, so that several entries concern the
     * same resource.
     */
    private record Entry(ResourceKind kind, int name, int service, boolean delete, int number) {}

    @Provide
    Arbitrary<List<Submission>> histories() {
        Arbitrary<Entry> entries =
                Combinators.combine(
                                Arbitraries.of(ResourceKind.class),
                                Arbitraries.integers().between(0, 4),
                                Arbitraries.integers().between(0, 2),
                                Arbitraries.integers().between(0, 9).map(each -> each < 3),
                                Arbitraries.integers().between(-1, 20))
                        .as(Entry::new);
        // Some ids occur more than once.
        Arbitrary<String> ids = Arbitraries.integers().between(0, 400).map(id -> "id-" + id);
        Arbitrary<Submission> submissions =
                Combinators.combine(ids, entries.list().ofMinSize(1).ofMaxSize(3))
                        .as(ChangeLogHistoryTest::submission);
        return submissions
                .list()
                .ofMaxSize(120)
                .withSizeDistribution(RandomDistribution.uniform())
                .map(ChangeLogHistoryTest::withServicesFirst);
    }

    // Puts the services first: most entries refer to a service, so most submissions would otherwise
    // be rejected.
    private static List<Submission> withServicesFirst(List<Submission> randomSubmissions) {
        SubmissionBuilder first = SubmissionBuilder.of("services");
        SERVICES.forEach(first::service);
        List<Submission> history = new ArrayList<>(List.of(first.build()));
        history.addAll(randomSubmissions);
        return history;
    }

    @Provide
    Arbitrary<Subscription> subscriptions() {
        return Combinators.combine(
                        Arbitraries.of(SERVICES).set().ofMaxSize(2),
                        Arbitraries.of("set-0", "set-1"))
                .as(Subscription::new);
    }

    private static Submission submission(String id, List<Entry> entries) {
        SubmissionBuilder submission = SubmissionBuilder.of(id);
        for (Entry entry : entries) {
            String service = SERVICES.get(entry.service());
            switch (entry.kind()) {
                case SERVICE -> put(submission, entry, service, () -> submission.service(service));
                case SERVER ->
                        put(
                                submission,
                                entry,
                                "s-" + entry.name(),
                                () ->
                                        submission.server(
                                                "s-" + entry.name(), service, entry.number()));
                case ROUTE ->
                        put(
                                submission,
                                entry,
                                "r-" + entry.name(),
                                () -> submission.route("r-" + entry.name(), service));
                case TENANT ->
                        put(
                                submission,
                                entry,
                                "t-" + entry.name(),
                                () -> submission.tenant("t-" + entry.name(), entry.number()));
                case SETTINGS ->
                        put(
                                submission,
                                entry,
                                "set-" + entry.name(),
                                () ->
                                        submission.settings(
                                                "set-" + entry.name(),
                                                Math.max(1, entry.number())));
                default -> throw new AssertionError(entry.kind());
            }
        }
        return submission.build();
    }

    private static void put(SubmissionBuilder submission, Entry entry, String name, Runnable put) {
        if (entry.delete()) {
            submission.delete(entry.kind(), name);
        } else {
            put.run();
        }
    }

    /**
     * A simple implementation of the rules in docs/control.md, which tries each change on a copy of
     * all resources.
     */
    private static final class Model {

        final Map<ResourceKey, Resource> resources = new TreeMap<>();
        final Map<String, Long> versionsById = new HashMap<>();
        final Set<String> rejectedIds = new HashSet<>();
        long version;

        Optional<Long> apply(Submission submission) {
            if (versionsById.containsKey(submission.id())
                    || rejectedIds.contains(submission.id())) {
                return Optional.ofNullable(versionsById.get(submission.id()));
            }
            if (!isValid(submission)) {
                rejectedIds.add(submission.id());
                return Optional.empty();
            }
            version++;
            submission.deletes().forEach(resources::remove);
            submission
                    .puts()
                    .forEach(
                            put ->
                                    resources.put(
                                            put.key(),
                                            new Resource(put.key(), version, put.value())));
            versionsById.put(submission.id(), version);
            return Optional.of(version);
        }

        private boolean isValid(Submission submission) {
            long keys =
                    Stream.concat(
                                    submission.puts().stream().map(Change.Put::key),
                                    submission.deletes().stream())
                            .distinct()
                            .count();
            if (keys < submission.puts().size() + submission.deletes().size()
                    || !resources.keySet().containsAll(submission.deletes())
                    || submission.puts().stream().anyMatch(this::hasValueOutOfRange)) {
                return false;
            }
            Map<ResourceKey, Resource> after = new TreeMap<>(resources);
            submission.deletes().forEach(after::remove);
            for (Change.Put put : submission.puts()) {
                Resource before = after.put(put.key(), new Resource(put.key(), 0, put.value()));
                if (before != null && !before.value().service().equals(put.value().service())) {
                    return false;
                }
            }
            return after.values().stream()
                    .map(each -> each.value().service())
                    .filter(service -> !service.isEmpty())
                    .allMatch(
                            service ->
                                    after.containsKey(
                                            new ResourceKey(ResourceKind.SERVICE, service)));
        }

        private boolean hasValueOutOfRange(Change.Put put) {
            return (put.value() instanceof Tenant tenant && tenant.requestsPerSecond() < 0)
                    || (put.value() instanceof Server server && server.endpoint().weight() < 0);
        }
    }

    private static Map<ResourceKey, Resource> state(ChangeLog log) {
        Subscription all = new Subscription(Set.of(), "set-0");
        SnapshotPage page = log.snapshot(Optional.empty(), all, 1 << 20).page();
        Map<ResourceKey, Resource> state = new TreeMap<>();
        page.resources().forEach(each -> state.put(each.key(), each));
        return state;
    }

    private static boolean isVisible(ResourceKey key) {
        return key.kind() != ResourceKind.SETTINGS || key.name().equals("set-0");
    }

    @Property(tries = 300, seed = "51")
    void state_equalsThatOfTheModel(@ForAll("histories") List<Submission> history) {
        ChangeLog log = new ChangeLog(LOG, LARGE_RETENTION);
        Model model = new Model();
        for (Submission submission : history) {
            Optional<Long> expected = model.apply(submission);
            SubmissionOutcome outcome = log.apply(submission);
            Optional<Long> actual =
                    outcome instanceof SubmissionOutcome.Accepted accepted
                            ? Optional.of(accepted.position().version())
                            : Optional.empty();
            assertEquals(expected, actual, () -> submission + ": " + outcome);
            assertEquals(model.version, log.position().version());
        }
        Map<ResourceKey, Resource> expected =
                model.resources.entrySet().stream()
                        .filter(each -> isVisible(each.getKey()))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        assertEquals(expected, state(log));
        assertEquals(model.resources.size(), log.size());
        boolean many = model.version > 10 && model.rejectedIds.size() > 10;
        Statistics.label("outcomes")
                .collect(many ? "many" : "few")
                .coverage(
                        coverage ->
                                coverage.check("many")
                                        .percentage(share -> share > MIN_LARGE_HISTORIES_PERCENT));
    }

    @Property(tries = 300, seed = "52")
    void pagesReadDuringChangesPlusChanges_yieldTheState(
            @ForAll("histories") List<Submission> history,
            @ForAll("subscriptions") Subscription subscription,
            @ForAll @IntRange(min = 1, max = 500) int bytes,
            @ForAll @IntRange(max = 60) int initialSubmissions,
            @ForAll @IntRange(min = 1, max = 9) int changesPerPage) {
        ChangeLog log = new ChangeLog(LOG, LARGE_RETENTION);
        int next = Math.min(initialSubmissions, history.size());
        history.subList(0, next).forEach(log::apply);
        Map<ResourceKey, Resource> copy = new TreeMap<>();
        long first = -1;
        Optional<ResourceKey> from = Optional.empty();
        do {
            SnapshotPage page = log.snapshot(from, subscription, bytes).page();
            first = first < 0 ? page.at().version() : first;
            page.resources().forEach(each -> copy.put(each.key(), each));
            from = page.next();
            for (int i = 0; i < changesPerPage && next < history.size(); i++) {
                log.apply(history.get(next++));
            }
        } while (from.isPresent());
        follow(log, subscription, bytes, first, copy);
        assertEquals(matchingResources(log, subscription), copy);
        Statistics.label("changes meanwhile")
                .collect(log.position().version() - first > 5 ? "many" : "few")
                .coverage(
                        coverage ->
                                coverage.check("many")
                                        .percentage(share -> share > MIN_LARGE_HISTORIES_PERCENT));
    }

    // Applies changes as a node does: a change modifies a resource only if the change is newer than
    // the resource.
    private static void follow(
            ChangeLog log,
            Subscription subscription,
            int bytes,
            long after,
            Map<ResourceKey, Resource> copy) {
        LogPosition at = new LogPosition(LOG, after);
        while (at.version() < log.position().version()) {
            PollResponse response = log.changesAfter(at, subscription, bytes);
            ChangePage page = assertInstanceOf(PollResponse.Changes.class, response).page().page();
            for (Change change : page.changes()) {
                for (Change.Delete delete : change.deletes()) {
                    Resource before = copy.get(delete.key());
                    if (before != null && before.version() < change.version()) {
                        copy.remove(delete.key());
                    }
                }
                for (Change.Put put : change.puts()) {
                    Resource before = copy.get(put.key());
                    if (before == null || before.version() < change.version()) {
                        copy.put(put.key(), new Resource(put.key(), change.version(), put.value()));
                    }
                }
            }
            assertTrue(page.upTo().version() > at.version(), "no progress from " + at);
            at = page.upTo();
        }
    }

    private static Map<ResourceKey, Resource> matchingResources(
            ChangeLog log, Subscription subscription) {
        Map<ResourceKey, Resource> matchingResources = new TreeMap<>();
        log.capture().resources().stream()
                .filter(each -> subscription.matches(each.key(), each.service()))
                .forEach(each -> matchingResources.put(each.key(), each.resource()));
        return matchingResources;
    }

    @Property(tries = 200, seed = "53")
    void restoredLog_behavesLikeTheOriginal(
            @ForAll("histories") List<Submission> history,
            @ForAll @IntRange(max = 60) int splitAt,
            @ForAll @IntRange(min = 1, max = 40) int retainedChanges)
            throws ProtocolException {
        LogRetention limits = new LogRetention(retainedChanges, 1 << 20);
        ChangeLog log = new ChangeLog(LOG, limits);
        int before = Math.min(splitAt, history.size());
        history.subList(0, before).forEach(log::apply);
        ChangeLog restored = ChangeLog.restore(log.capture().encode(), limits);
        assertEquals(log.position(), restored.position());
        assertEquals(log.oldest(), restored.oldest());
        assertArrayEquals(log.capture().encode(), restored.capture().encode());
        for (Submission submission : history.subList(before, history.size())) {
            assertEquals(log.apply(submission), restored.apply(submission));
        }
        history.forEach(
                submission -> assertEquals(log.apply(submission), restored.apply(submission)));
        assertArrayEquals(log.capture().encode(), restored.capture().encode());
    }

    @Property(tries = 200, seed = "54")
    void repeatedSubmissions_changeNothing(@ForAll("histories") List<Submission> history) {
        ChangeLog log = new ChangeLog(LOG, LARGE_RETENTION);
        List<SubmissionOutcome> outcomes = history.stream().map(log::apply).toList();
        byte[] stored = log.capture().encode();
        assertEquals(outcomes, history.stream().map(log::apply).toList());
        assertArrayEquals(stored, log.capture().encode());
    }
}
