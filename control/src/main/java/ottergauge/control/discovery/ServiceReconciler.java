// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Submission;

/**
 * The servers of one service as discovery lists them and as the log has them, and the submissions
 * that make the log's like discovery's. Does no I/O. What costs is what differs: names that are
 * alike are looked at again only when either side tells of them.
 */
public final class ServiceReconciler {

    /** Of one submission; well within the bounds of one. */
    private static final int MAX_ENTRIES = 500;

    private static final int MAX_BYTES = 192 * 1024;

    /** A server's entry has little beside its value: kind and name. */
    private static final int ENTRY_OVERHEAD = 200;

    private static final Pattern ENTRY_OF_FAULT = Pattern.compile("(put|delete)\\[(\\d+)\\].*");

    private final String service;
    private final Map<String, DiscoveredEndpoint> listed = new HashMap<>();
    private final Map<String, DiscoveredEndpoint> published = new HashMap<>();

    /** Values that were refused: not published again until they change. */
    private final Map<String, DiscoveredEndpoint> refused = new HashMap<>();

    /** The names of which the two sides may differ. */
    private final Set<String> toCompare = new LinkedHashSet<>();

    private boolean serviceExists;

    /** Whether discovery was heard: before, its list is not known to be empty. */
    private boolean heard;

    public ServiceReconciler(String service) {
        this.service = service;
    }

    /** Takes discovery's list, or what has changed in it. */
    public void takeList(EndpointList list) {
        heard |= list.complete();
        if (list.complete()) {
            listed.clear();
            toCompare.addAll(published.keySet());
        }
        for (DiscoveredEndpoint host : list.endpoints()) {
            toCompare.add(host.name());
            if (host.state() == EndpointState.REMOVED) {
                listed.remove(host.name());
            } else {
                listed.put(host.name(), host);
            }
        }
    }

    /** Takes what the log has, whole. */
    public void takeState(List<Resource> resources) {
        published.clear();
        refused.clear();
        serviceExists = false;
        for (Resource resource : resources) {
            takePut(resource.key(), resource.value());
        }
        toCompare.addAll(published.keySet());
        toCompare.addAll(listed.keySet());
    }

    /** Takes a change of the log, whoever made it. */
    public void takeChange(Change change) {
        for (Change.Delete delete : change.deletes()) {
            takeDelete(delete.key());
        }
        for (Change.Put put : change.puts()) {
            takePut(put.key(), put.value());
        }
    }

    private void takePut(ResourceKey key, ResourceValue value) {
        if (key.equals(serviceKey())) {
            serviceExists = true;
        } else if (value instanceof ResourceValue.Server server
                && server.service().equals(service)) {
            published.put(key.name(), server.endpoint());
            toCompare.add(key.name());
        }
    }

    private void takeDelete(ResourceKey key) {
        if (key.equals(serviceKey())) {
            serviceExists = false;
        } else if (key.kind() == ResourceKind.SERVER && published.remove(key.name()) != null) {
            toCompare.add(key.name());
        }
    }

    private ResourceKey serviceKey() {
        return new ResourceKey(ResourceKind.SERVICE, service);
    }

    /**
     * What has to be published next under this id; empty if the two are alike, or discovery wasn't
     * heard.
     */
    public Optional<Submission> next(String id) {
        if (!heard) {
            return Optional.empty();
        }
        List<Change.Put> puts = new ArrayList<>();
        List<ResourceKey> deletes = new ArrayList<>();
        int bytes = 0;
        Iterator<String> names = toCompare.iterator();
        while (names.hasNext() && puts.size() + deletes.size() < MAX_ENTRIES && bytes < MAX_BYTES) {
            String name = names.next();
            DiscoveredEndpoint wanted = listed.get(name);
            if (wanted == null ? !published.containsKey(name) : isSettled(name, wanted)) {
                names.remove();
            } else if (wanted == null) {
                deletes.add(new ResourceKey(ResourceKind.SERVER, name));
                bytes += ENTRY_OVERHEAD;
            } else {
                Change.Put put =
                        new Change.Put(
                                new ResourceKey(ResourceKind.SERVER, name),
                                new ResourceValue.Server(service, wanted));
                puts.add(put);
                bytes += ENTRY_OVERHEAD + ResourceCodec.write(put.value()).length;
            }
        }
        if (puts.isEmpty() && deletes.isEmpty()) {
            return Optional.empty();
        }
        if (!serviceExists) {
            puts.add(0, new Change.Put(serviceKey(), new ResourceValue.Service("")));
        }
        return Optional.of(new Submission(id, puts, deletes));
    }

    private boolean isSettled(String name, DiscoveredEndpoint wanted) {
        return wanted.equals(published.get(name)) || wanted.equals(refused.get(name));
    }

    /**
     * What is wrong with servers of the list that can't be published; they are left out from now
     * on.
     */
    public List<FieldError> rejectMalformed(Submission submission) {
        List<FieldError> errors = new ArrayList<>();
        for (Change.Put put : submission.puts()) {
            Optional<FieldError> error = ResourceValidator.firstError(put.key(), put.value());
            error.ifPresent(
                    found -> {
                        errors.add(found);
                        refuse(put);
                    });
        }
        return errors;
    }

    /** The log has refused a submission: what its faults name is left out from now on. */
    public void refuse(Submission submission, List<FieldError> errors) {
        boolean named = false;
        for (FieldError error : errors) {
            Matcher entry = ENTRY_OF_FAULT.matcher(error.key());
            if (!entry.matches()) {
                continue;
            }
            int index = Integer.parseInt(entry.group(2));
            if (entry.group(1).equals("put") && index < submission.puts().size()) {
                refuse(submission.puts().get(index));
                named = true;
            } else if (entry.group(1).equals("delete") && index < submission.deletes().size()) {
                published.remove(submission.deletes().get(index).name());
                named = true;
            }
        }
        if (!named) {
            submission.puts().forEach(this::refuse);
            submission.deletes().forEach(key -> published.remove(key.name()));
        }
    }

    private void refuse(Change.Put put) {
        if (put.value() instanceof ResourceValue.Server server) {
            refused.put(put.key().name(), server.endpoint());
        } else {
            serviceExists = true;
        }
    }

    /** The log has accepted a submission. */
    public void accepted(Submission submission) {
        takeChange(
                new Change(
                        1,
                        submission.puts(),
                        submission.deletes().stream()
                                .map(key -> new Change.Delete(key, service))
                                .toList()));
    }
}
