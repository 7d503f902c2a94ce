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
 * Generates random changes of a small number of resources, so that changes often modify the same
 * resources and revert each other.
 */
final class ModelChanges {

    private static final int NAME_COUNT = 4;
    private static final int VALUE_COUNT = 3;
    private static final int MAX_ENTRIES = 4;

    /** On average, one in this many entries deletes its resource, if the resource exists. */
    private static final int DELETE_ONE_IN = 3;

    private static final double INVALID_WEIGHT = -1;

    private ModelChanges() {}

    /**
     * Appends a change to a log. With {@code withInvalidValue}, the change contains an invalid
     * value.
     */
    static void append(ModelLog log, SplittableRandom random, boolean withInvalidValue) {
        Map<ResourceKey, Resource> state = log.stateAt(log.version(), false);
        Map<ResourceKey, Change.Put> puts = new TreeMap<>();
        List<Change.Delete> deletes = new ArrayList<>();
        int entries = random.nextInt(1, MAX_ENTRIES + 1);
        for (int i = 0; i < entries; i++) {
            ResourceKey key = key(random);
            Resource now = state.remove(key);
            if (now != null && random.nextInt(DELETE_ONE_IN) == 0) {
                deletes.add(new Change.Delete(key, now.value().service()));
            } else if (deletes.stream().noneMatch(each -> each.key().equals(key))) {
                puts.put(key, new Change.Put(key, value(key, random)));
            }
        }
        if (withInvalidValue) {
            ResourceKey key =
                    new ResourceKey(ResourceKind.TENANT, "t-" + random.nextInt(NAME_COUNT));
            deletes.removeIf(each -> each.key().equals(key));
            puts.put(key, new Change.Put(key, new ResourceValue.Tenant(0, 0, 0, INVALID_WEIGHT)));
        }
        log.append(List.copyOf(puts.values()), deletes);
    }

    /** Whether a value is one of the invalid values that this class generates. */
    static boolean hasInvalidWeight(ResourceValue value) {
        return value instanceof ResourceValue.Tenant tenant && tenant.weight() == INVALID_WEIGHT;
    }

    private static ResourceKey key(SplittableRandom random) {
        int name = random.nextInt(NAME_COUNT);
        return switch (random.nextInt(5)) {
            case 0 -> new ResourceKey(ResourceKind.SERVICE, service(name));
            case 1 -> new ResourceKey(ResourceKind.SERVER, "s-" + name);
            case 2 -> new ResourceKey(ResourceKind.ROUTE, "r-" + name);
            case 3 -> new ResourceKey(ResourceKind.TENANT, "t-" + name);
            default -> new ResourceKey(ResourceKind.SETTINGS, name == 0 ? "other" : "default");
        };
    }

    // A server or a route always belongs to the same service.
    private static String service(int name) {
        return name % 2 == 0 ? "even" : "odd";
    }

    private static ResourceValue value(ResourceKey key, SplittableRandom random) {
        int value = random.nextInt(VALUE_COUNT);
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
