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
 * Compares the servers of one service in discovery's list with those in the log, and builds the
 * submissions that make the log match discovery. Does no I/O. The cost is proportional to the
 * number of changes in the list and the log, not to the number of servers. Not thread-safe.
 */
public final class ServiceReconciler {

    /** The maximum number of entries of a submission; lower than the limit that the log accepts. */
    private static final int MAX_SUBMISSION_ENTRIES = 500;

    private static final int MAX_SUBMISSION_BYTES = 192 * 1024;

    /**
     * Upper bound of the bytes of a server's entry without its value, that is, of its kind and
     * name.
     */
    private static final int ENTRY_OVERHEAD = 200;

    private static final Pattern ENTRY_OF_ERROR = Pattern.compile("(put|delete)\\[(\\d+)\\].*");

    private final String service;
    private final Map<String, DiscoveredEndpoint> discovered = new HashMap<>();
    private final Map<String, DiscoveredEndpoint> published = new HashMap<>();

    /**
     * The values that the log rejected. They are not published again until they change or a
     * snapshot of the log is applied.
     */
    private final Map<String, DiscoveredEndpoint> rejected = new HashMap<>();

    /** The names of the servers that may differ between discovery and the log. */
    private final Set<String> dirtyNames = new LinkedHashSet<>();

    private boolean serviceExists;

    /**
     * Whether discovery's full list was applied. Before that, a name that is missing in {@code
     * discovered} doesn't mean that the server was removed.
     */
    private boolean hasFullList;

    /** Creates a reconciler without a discovery list and without a snapshot of the log. */
    public ServiceReconciler(String service) {
        this.service = service;
    }

    /** Applies discovery's full list, or changes to it. */
    public void applyDiscoveryList(EndpointList list) {
        hasFullList |= list.complete();
        if (list.complete()) {
            discovered.clear();
            dirtyNames.addAll(published.keySet());
        }
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            dirtyNames.add(endpoint.name());
            if (endpoint.state() == EndpointState.REMOVED) {
                discovered.remove(endpoint.name());
            } else {
                discovered.put(endpoint.name(), endpoint);
            }
        }
    }

    /** Replaces the known content of the log with the resources of a snapshot. */
    public void resetPublished(List<Resource> resources) {
        published.clear();
        rejected.clear();
        serviceExists = false;
        for (Resource resource : resources) {
            applyPut(resource.key(), resource.value());
        }
        dirtyNames.addAll(published.keySet());
        dirtyNames.addAll(discovered.keySet());
    }

    /** Applies a change of the log, which any client may have published. */
    public void applyChange(Change change) {
        for (Change.Delete delete : change.deletes()) {
            applyDelete(delete.key());
        }
        for (Change.Put put : change.puts()) {
            applyPut(put.key(), put.value());
        }
    }

    private void applyPut(ResourceKey key, ResourceValue value) {
        if (key.equals(serviceKey())) {
            serviceExists = true;
        } else if (value instanceof ResourceValue.Server server
                && server.service().equals(service)) {
            published.put(key.name(), server.endpoint());
            dirtyNames.add(key.name());
        }
    }

    private void applyDelete(ResourceKey key) {
        if (key.equals(serviceKey())) {
            serviceExists = false;
        } else if (key.kind() == ResourceKind.SERVER && published.remove(key.name()) != null) {
            dirtyNames.add(key.name());
        }
    }

    private ResourceKey serviceKey() {
        return new ResourceKey(ResourceKind.SERVICE, service);
    }

    /**
     * Builds the next submission.
     *
     * @param id the submission's id
     * @return empty if the log matches discovery, or if discovery's full list was not applied yet
     */
    public Optional<Submission> nextSubmission(String id) {
        if (!hasFullList) {
            return Optional.empty();
        }
        List<Change.Put> puts = new ArrayList<>();
        List<ResourceKey> deletes = new ArrayList<>();
        collectDifferences(puts, deletes);
        if (puts.isEmpty() && deletes.isEmpty()) {
            return Optional.empty();
        }
        if (!serviceExists) {
            puts.add(0, new Change.Put(serviceKey(), new ResourceValue.Service("")));
        }
        return Optional.of(new Submission(id, puts, deletes));
    }

    // Names that differ stay in dirtyNames until the outcome of the submission is known.
    private void collectDifferences(List<Change.Put> puts, List<ResourceKey> deletes) {
        int bytes = 0;
        Iterator<String> names = dirtyNames.iterator();
        while (names.hasNext()
                && puts.size() + deletes.size() < MAX_SUBMISSION_ENTRIES
                && bytes < MAX_SUBMISSION_BYTES) {
            String name = names.next();
            DiscoveredEndpoint wanted = discovered.get(name);
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
    }

    private boolean isSettled(String name, DiscoveredEndpoint wanted) {
        return wanted.equals(published.get(name)) || wanted.equals(rejected.get(name));
    }

    /**
     * Validates the entries of a submission. The malformed ones are left out of later submissions
     * until they change.
     *
     * @return the errors of the entries; empty if the submission may be published
     */
    public List<FieldError> rejectMalformed(Submission submission) {
        List<FieldError> errors = new ArrayList<>();
        for (Change.Put put : submission.puts()) {
            Optional<FieldError> error = ResourceValidator.firstError(put.key(), put.value());
            error.ifPresent(
                    found -> {
                        errors.add(found);
                        markRejected(put);
                    });
        }
        return errors;
    }

    /**
     * Records that the log rejected a submission. The entries that the errors name are left out of
     * later submissions until they change.
     */
    public void markRejected(Submission submission, List<FieldError> errors) {
        boolean entryFound = false;
        for (FieldError error : errors) {
            Matcher entry = ENTRY_OF_ERROR.matcher(error.key());
            if (!entry.matches()) {
                continue;
            }
            int index = Integer.parseInt(entry.group(2));
            if (entry.group(1).equals("put") && index < submission.puts().size()) {
                markRejected(submission.puts().get(index));
                entryFound = true;
            } else if (entry.group(1).equals("delete") && index < submission.deletes().size()) {
                published.remove(submission.deletes().get(index).name());
                entryFound = true;
            }
        }
        if (!entryFound) {
            submission.puts().forEach(this::markRejected);
            submission.deletes().forEach(key -> published.remove(key.name()));
        }
    }

    private void markRejected(Change.Put put) {
        if (put.value() instanceof ResourceValue.Server server) {
            rejected.put(put.key().name(), server.endpoint());
        } else {
            serviceExists = true;
        }
    }

    /** Records that the log accepted a submission. */
    public void markAccepted(Submission submission) {
        applyChange(
                new Change(
                        1,
                        submission.puts(),
                        submission.deletes().stream()
                                .map(key -> new Change.Delete(key, service))
                                .toList()));
    }
}
