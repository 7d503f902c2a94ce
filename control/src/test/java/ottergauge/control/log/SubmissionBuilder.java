// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.Change;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Submission;

/** Builds submissions for tests. */
public final class SubmissionBuilder {

    private final String id;
    private final List<Change.Put> puts = new ArrayList<>();
    private final List<ResourceKey> deletes = new ArrayList<>();

    private SubmissionBuilder(String id) {
        this.id = id;
    }

    public static SubmissionBuilder of(String id) {
        return new SubmissionBuilder(id);
    }

    public static ResourceKey key(ResourceKind kind, String name) {
        return new ResourceKey(kind, name);
    }

    public SubmissionBuilder service(String name) {
        return put(ResourceKind.SERVICE, name, new ResourceValue.Service("about " + name));
    }

    public SubmissionBuilder server(String name, String service) {
        return server(name, service, 1);
    }

    public SubmissionBuilder server(String name, String service, double share) {
        Address dial = new Address("127.0.0.1", 4000);
        DiscoveredEndpoint host =
                new DiscoveredEndpoint(name, dial, "zone-a", "std", 0, EndpointState.UP, share, 0);
        return put(ResourceKind.SERVER, name, new ResourceValue.Server(service, host));
    }

    public SubmissionBuilder route(String name, String service) {
        return put(ResourceKind.ROUTE, name, new ResourceValue.Route(service, "/" + name, "read"));
    }

    public SubmissionBuilder tenant(String name, double requestsPerSecond) {
        return put(
                ResourceKind.TENANT, name, new ResourceValue.Tenant(requestsPerSecond, 10, 5, 1));
    }

    public SubmissionBuilder settings(String name, double aimMs) {
        Map<String, Object> requestClass = new LinkedHashMap<>();
        requestClass.put("aimMs", aimMs);
        requestClass.put("name", "read");
        return put(
                ResourceKind.SETTINGS,
                name,
                new ResourceValue.Settings(Map.of("classes", List.of(requestClass))));
    }

    public SubmissionBuilder put(ResourceKind kind, String name, ResourceValue value) {
        puts.add(new Change.Put(key(kind, name), value));
        return this;
    }

    public SubmissionBuilder delete(ResourceKey... keys) {
        deletes.addAll(Arrays.asList(keys));
        return this;
    }

    public SubmissionBuilder delete(ResourceKind kind, String name) {
        return delete(key(kind, name));
    }

    public Submission build() {
        return new Submission(id, List.copyOf(puts), List.copyOf(deletes));
    }
}
