// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Says whether a submission that is well formed fits the state: by what the state would be after
 * it, so that a change may bring a service with its servers, or take away both.
 */
final class SubmissionValidator {

    static final int MAX_FAULTS = 100;

    private final ResourceState state;
    private final Submission submission;
    private final List<FieldError> faults = new ArrayList<>();
    private final Set<ResourceKey> deleted;
    private final Set<String> newServices = new HashSet<>();

    /** By how many the servers and routes that name a service become fewer. */
    private final Map<String, Integer> usersLost = new HashMap<>();

    private SubmissionValidator(ResourceState state, Submission submission) {
        this.state = state;
        this.submission = submission;
        deleted = new HashSet<>(submission.deletes());
    }

    /** All that doesn't fit, up to a bound; empty if it may be applied. */
    static List<FieldError> faults(
            ResourceState state, Submission submission, List<StoredResource> puts) {
        SubmissionValidator check = new SubmissionValidator(state, submission);
        check.countServices();
        check.checkPuts();
        check.checkDeletes();
        check.checkSizes(puts);
        return List.copyOf(check.faults);
    }

    private void countServices() {
        for (Change.Put put : submission.puts()) {
            if (put.key().kind() == ResourceKind.SERVICE) {
                newServices.add(put.key().name());
            }
        }
        for (ResourceKey key : submission.deletes()) {
            StoredResource resource = state.get(key);
            if (resource != null && !resource.service().isEmpty()) {
                usersLost.merge(resource.service(), 1, Integer::sum);
            }
        }
    }

    private void checkPuts() {
        for (int i = 0; i < submission.puts().size(); i++) {
            checkPut("put[" + i + "].value.service", submission.puts().get(i));
        }
    }

    private void checkPut(String path, Change.Put put) {
        String service = put.value().service();
        if (service.isEmpty()) {
            return;
        }
        StoredResource before = state.get(put.key());
        if (before != null && !before.service().equals(service)) {
            fault(path, service, before.service() + ", the service that the resource belongs to");
        } else if (!existsAfterwards(service)) {
            fault(path, service, "a service that exists");
        }
    }

    private boolean existsAfterwards(String service) {
        ResourceKey key = new ResourceKey(ResourceKind.SERVICE, service);
        return newServices.contains(service) || (state.get(key) != null && !deleted.contains(key));
    }

    private void checkDeletes() {
        for (int i = 0; i < submission.deletes().size(); i++) {
            checkDelete("delete[" + i + "].name", submission.deletes().get(i));
        }
    }

    private void checkDelete(String path, ResourceKey key) {
        if (state.get(key) == null) {
            fault(path, key.name(), "a " + key.kind().wireName() + " that exists");
        } else if (key.kind() == ResourceKind.SERVICE && usersLeft(key.name()) > 0) {
            fault(
                    path,
                    key.name(),
                    "a service that no server and no route names; this one has "
                            + usersLeft(key.name()));
        }
    }

    private int usersLeft(String service) {
        return state.usersOf(service) - usersLost.getOrDefault(service, 0);
    }

    private void checkSizes(List<StoredResource> puts) {
        long changeBytes = 0;
        long resources = (long) state.size() - submission.deletes().size();
        long stateBytes = state.bytes();
        for (StoredResource put : puts) {
            StoredResource before = state.get(put.key());
            changeBytes += JsonPageBuilder.sizeOf(put);
            stateBytes +=
                    JsonPageBuilder.sizeOf(put)
                            - (before == null ? 0 : JsonPageBuilder.sizeOf(before));
            resources += before == null ? 1 : 0;
        }
        checkSize("bytes of the change", changeBytes, StateLimits.MAX_CHANGE_BYTES);
        checkSize("resources in all", resources, StateLimits.MAX_RESOURCES);
        checkSize("bytes of all resources", stateBytes, StateLimits.MAX_STATE_BYTES);
    }

    private void checkSize(String what, long size, long most) {
        if (size > most) {
            fault("put", size + " " + what, most + " " + what + " at most");
        }
    }

    private void fault(String key, String value, String allowed) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(new FieldError(key, value, allowed));
        }
    }
}
