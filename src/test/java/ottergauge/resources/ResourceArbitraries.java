// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.ResourceValue.Route;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.ResourceValue.Service;
import ottergauge.resources.ResourceValue.Settings;
import ottergauge.resources.ResourceValue.Tenant;

/** Generates valid random resources, changes and pages. */
public final class ResourceArbitraries {

    private static final int MAX_PORT = 65_535;
    private static final long MAX_SAFE_INTEGER = 1L << 53;

    private ResourceArbitraries() {}

    public static Arbitrary<String> names() {
        return Arbitraries.strings()
                .withCharRange('a', 'z')
                .withCharRange('A', 'Z')
                .withCharRange('0', '9')
                .withChars("._:/-")
                .ofMinLength(1)
                .ofMaxLength(128);
    }

    private static Arbitrary<String> texts(int max) {
        Arbitrary<Character> characters =
                Arbitraries.oneOf(
                        Arbitraries.chars().range(' ', '~'),
                        Arbitraries.chars().range('\u00a1', '\u07ff'),
                        Arbitraries.chars().range('\u3041', '\u30ff'));
        return characters
                .list()
                .ofMaxSize(max)
                .map(
                        list -> {
                            StringBuilder text = new StringBuilder();
                            list.forEach(text::append);
                            return text.toString();
                        });
    }

    private static Arbitrary<Address> addresses() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 255),
                        Arbitraries.integers().between(1, MAX_PORT))
                .as((octet, port) -> new Address("10.1." + octet + "." + (255 - octet), port));
    }

    private static Arbitrary<ResourceValue> servers(String name) {
        Arbitrary<DiscoveredEndpoint> hosts =
                Combinators.combine(
                                addresses(),
                                names().injectNull(0.2),
                                names().injectNull(0.2),
                                Arbitraries.integers().between(0, Integer.MAX_VALUE),
                                Arbitraries.of(EndpointState.values()),
                                Arbitraries.doubles().between(0, 1e6).map(Math::abs),
                                Arbitraries.longs().between(0, MAX_SAFE_INTEGER))
                        .as(
                                (dial, site, kind, block, state, share, born) ->
                                        new DiscoveredEndpoint(
                                                name, dial, site, kind, block, state, share, born));
        return Combinators.combine(names(), hosts).as(Server::new);
    }

    private static Arbitrary<ResourceValue> routes() {
        return Combinators.combine(
                        names(),
                        Arbitraries.strings()
                                .withCharRange('a', 'z')
                                .withChars("/%._~-")
                                .ofMaxLength(60)
                                .map(path -> "/" + path),
                        names())
                .as(Route::new);
    }

    private static Arbitrary<ResourceValue> tenants() {
        return Combinators.combine(
                        Arbitraries.doubles().between(0, 1e9).map(Math::abs),
                        Arbitraries.doubles().between(0, 1e9).map(Math::abs),
                        Arbitraries.integers().between(0, 1_000_000),
                        Arbitraries.doubles().between(0, 1e6).map(Math::abs))
                .as(Tenant::new);
    }

    private static Arbitrary<Object> requestClasses() {
        return Combinators.combine(
                        names(),
                        Arbitraries.of("free", "guarded", "single_shot"),
                        Arbitraries.integers().between(0, 604_800_000),
                        Arbitraries.doubles().between(0, 1).map(Math::abs))
                .as(
                        (name, semantics, limit, lateWorth) -> {
                            Map<String, Object> fields = new LinkedHashMap<>();
                            fields.put("name", name);
                            fields.put("semantics", semantics);
                            fields.put("hardLimitMs", (double) limit);
                            fields.put("lateWorth", lateWorth);
                            fields.put("streamed", limit % 2 == 0);
                            return fields;
                        });
    }

    private static Arbitrary<ResourceValue> settings() {
        return Combinators.combine(
                        requestClasses()
                                .list()
                                .uniqueElements(type -> ((Map<?, ?>) type).get("name"))
                                .ofMinSize(1)
                                .ofMaxSize(4),
                        texts(20),
                        Arbitraries.integers().between(1, 60_000),
                        Arbitraries.of(Boolean.TRUE, Boolean.FALSE))
                .as(
                        (classes, note, round, flag) -> {
                            Map<String, Object> tree = new LinkedHashMap<>();
                            tree.put("classes", classes);
                            tree.put("roundMs", (double) round);
                            tree.put("zones", List.of("a", note));
                            tree.put("note", note);
                            tree.put("none", null);
                            tree.put("specifics", Map.of("warmKeys", flag));
                            return new Settings(tree);
                        });
    }

    public static Arbitrary<Change.Put> puts() {
        return Combinators.combine(Arbitraries.of(ResourceKind.values()), names())
                .as(ResourceKey::new)
                .flatMap(key -> values(key).map(value -> new Change.Put(key, value)));
    }

    private static Arbitrary<ResourceValue> values(ResourceKey key) {
        return switch (key.kind()) {
            case SERVICE -> texts(40).map(Service::new);
            case SERVER -> servers(key.name());
            case ROUTE -> routes();
            case TENANT -> tenants();
            case SETTINGS -> settings();
        };
    }

    private static Arbitrary<ResourceKey> keys() {
        return Combinators.combine(Arbitraries.of(ResourceKind.values()), names())
                .as(ResourceKey::new);
    }

    public static Arbitrary<Change> changes() {
        Arbitrary<Change.Delete> deletes =
                Combinators.combine(keys(), names().injectNull(0.3))
                        .as(
                                (key, service) ->
                                        new Change.Delete(key, service == null ? "" : service));
        return Combinators.combine(
                        Arbitraries.longs().between(1, MAX_SAFE_INTEGER),
                        puts().list().ofMaxSize(4).uniqueElements(Change.Put::key),
                        deletes.list().ofMaxSize(3).uniqueElements(Change.Delete::key))
                .as(
                        (version, puts, deleted) -> {
                            List<Change.Delete> others = new ArrayList<>(deleted);
                            others.removeIf(
                                    delete ->
                                            puts.stream()
                                                    .anyMatch(
                                                            put -> put.key().equals(delete.key())));
                            return new Change(version, puts, others);
                        });
    }

    public static Arbitrary<LogPosition> positions() {
        return Combinators.combine(names(), Arbitraries.longs().between(0, MAX_SAFE_INTEGER))
                .as(LogPosition::new);
    }

    public static Arbitrary<ChangePage> changePages() {
        return Combinators.combine(positions(), changes().list().ofMaxSize(4)).as(ChangePage::new);
    }

    public static Arbitrary<SnapshotPage> snapshotPages() {
        Arbitrary<Resource> resources =
                Combinators.combine(puts(), Arbitraries.longs().between(1, MAX_SAFE_INTEGER))
                        .as((put, version) -> new Resource(put.key(), version, put.value()));
        return Combinators.combine(
                        positions(),
                        resources.list().ofMaxSize(6),
                        keys().map(Optional::of)
                                .injectNull(0.3)
                                .map(key -> key == null ? Optional.<ResourceKey>empty() : key))
                .as(SnapshotPage::new);
    }

    public static Arbitrary<Submission> submissions() {
        return Combinators.combine(
                        names(),
                        puts().list().ofMinSize(1).ofMaxSize(4).uniqueElements(Change.Put::key),
                        keys().list().ofMaxSize(3).uniqueElements())
                .as(
                        (id, puts, keys) -> {
                            List<ResourceKey> deletes = new ArrayList<>(keys);
                            deletes.removeIf(
                                    key -> puts.stream().anyMatch(put -> put.key().equals(key)));
                            return new Submission(id, puts, deletes);
                        });
    }
}
