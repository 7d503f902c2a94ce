// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.Change;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;

/**
 * Draws changes of few resources, so that they often touch the same ones, and take each other back.
 */
final class ModelChanges {

    private static final int NAMES = 4;
    private static final int VALUES = 3;
    private static final int MAX_ENTRIES = 4;

    /** One in so many changes deletes what it touches. */
    private static final int DELETES = 3;

    private static final double BAD_WEIGHT = -1;

    private ModelChanges() {}

    /** Appends a change to a log; {@code bad} gives it an invalid value. */
    static void append(ModelLog log, SplittableRandom random, boolean bad) {
        Map<ResourceKey, Resource> state = log.stateAt(log.version(), false);
        Map<ResourceKey, Change.Put> puts = new TreeMap<>();
        List<Change.Delete> deletes = new ArrayList<>();
        int entries = random.nextInt(1, MAX_ENTRIES + 1);
        for (int i = 0; i < entries; i++) {
            ResourceKey key = key(random);
            Resource now = state.remove(key);
            if (now != null && random.nextInt(DELETES) == 0) {
                deletes.add(new Change.Delete(key, now.value().service()));
            } else if (deletes.stream().noneMatch(each -> each.key().equals(key))) {
                puts.put(key, new Change.Put(key, value(key, random)));
            }
        }
        if (bad) {
            ResourceKey key = new ResourceKey(ResourceKind.TENANT, "t-" + random.nextInt(NAMES));
            deletes.removeIf(each -> each.key().equals(key));
            puts.put(key, new Change.Put(key, new ResourceValue.Tenant(0, 0, 0, BAD_WEIGHT)));
        }
        log.append(List.copyOf(puts.values()), deletes);
    }

    /** Whether a value is invalid. */
    static boolean isBad(ResourceValue value) {
        return value instanceof ResourceValue.Tenant tenant && tenant.weight() == BAD_WEIGHT;
    }

    private static ResourceKey key(SplittableRandom random) {
        int name = random.nextInt(NAMES);
        return switch (random.nextInt(5)) {
            case 0 -> new ResourceKey(ResourceKind.SERVICE, service(name));
            case 1 -> new ResourceKey(ResourceKind.SERVER, "s-" + name);
            case 2 -> new ResourceKey(ResourceKind.ROUTE, "r-" + name);
            case 3 -> new ResourceKey(ResourceKind.TENANT, "t-" + name);
            default -> new ResourceKey(ResourceKind.SETTINGS, name == 0 ? "other" : "default");
        };
    }

    // A server or a route belongs to a service for good.
    private static String service(int name) {
        return name % 2 == 0 ? "even" : "odd";
    }

    private static ResourceValue value(ResourceKey key, SplittableRandom random) {
        int value = random.nextInt(VALUES);
        String service = service(key.name().charAt(key.name().length() - 1));
        return switch (key.kind()) {
            case SERVICE -> new ResourceValue.Service("description " + value);
            case SERVER ->
                    new ResourceValue.Server(
                            service,
                            new DiscoveredEndpoint(
                                    key.name(),
                                    new Address("10.0.0.1", 1 + value),
                                    null,
                                    null,
                                    0,
                                    EndpointState.UP,
                                    1,
                                    0));
            case ROUTE -> new ResourceValue.Route(service, "/" + value, "class");
            case TENANT -> new ResourceValue.Tenant(value, 0, 0, 1);
            case SETTINGS -> settings(value);
        };
    }

    private static ResourceValue settings(int value) {
        Map<String, Object> type = new LinkedHashMap<>();
        type.put("name", "class");
        type.put("hardLimitMs", 100.0 + value);
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("classes", List.of(type));
        return new ResourceValue.Settings(tree);
    }
}
