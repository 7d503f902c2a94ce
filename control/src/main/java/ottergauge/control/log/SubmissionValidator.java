// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Submission;

/**
 * Validates a well-formed submission against the state that would result from it. One change may
 * therefore put a service together with its servers, or delete both.
 */
final class SubmissionValidator {

    static final int MAX_ERRORS = 100;

    private final ResourceState state;
    private final Submission submission;
    private final List<FieldError> errors = new ArrayList<>();
    private final Set<ResourceKey> deleted;
    private final Set<String> putServices = new HashSet<>();

    /** For each service, the number of deleted servers and routes that refer to it. */
    private final Map<String, Integer> deletedReferences = new HashMap<>();

    private SubmissionValidator(ResourceState state, Submission submission) {
        this.state = state;
        this.submission = submission;
        deleted = new HashSet<>(submission.deletes());
    }

    /**
     * Returns the errors of the submission, at most {@link #MAX_ERRORS}; empty if the submission
     * may be applied.
     */
    static List<FieldError> errors(
            ResourceState state, Submission submission, List<StoredResource> puts) {
        SubmissionValidator validator = new SubmissionValidator(state, submission);
        validator.collectServices();
        validator.collectDeletedReferences();
        validator.checkPuts();
        validator.checkDeletes();
        validator.checkSizes(puts);
        return List.copyOf(validator.errors);
    }

    private void collectServices() {
        for (Change.Put put : submission.puts()) {
            if (put.key().kind() == ResourceKind.SERVICE) {
                putServices.add(put.key().name());
            }
        }
    }

    private void collectDeletedReferences() {
        for (ResourceKey key : submission.deletes()) {
            String service = state.find(key).map(StoredResource::service).orElse("");
            if (!service.isEmpty()) {
                deletedReferences.merge(service, 1, Integer::sum);
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
        Optional<String> currentService = state.find(put.key()).map(StoredResource::service);
        if (currentService.isPresent() && !currentService.get().equals(service)) {
            addError(
                    path,
                    service,
                    currentService.get() + ", the service that the resource belongs to");
        } else if (!willExist(service)) {
            addError(path, service, "a service that exists");
        }
    }

    private boolean willExist(String service) {
        ResourceKey key = new ResourceKey(ResourceKind.SERVICE, service);
        return putServices.contains(service)
                || (state.find(key).isPresent() && !deleted.contains(key));
    }

    private void checkDeletes() {
        for (int i = 0; i < submission.deletes().size(); i++) {
            checkDelete("delete[" + i + "].name", submission.deletes().get(i));
        }
    }

    private void checkDelete(String path, ResourceKey key) {
        if (state.find(key).isEmpty()) {
            addError(path, key.name(), "a " + key.kind().wireName() + " that exists");
        } else if (key.kind() == ResourceKind.SERVICE && remainingReferences(key.name()) > 0) {
            addError(
                    path,
                    key.name(),
                    "a service that no server and no route names; this one has "
                            + remainingReferences(key.name()));
        }
    }

    private int remainingReferences(String service) {
        return state.referencesTo(service) - deletedReferences.getOrDefault(service, 0);
    }

    private void checkSizes(List<StoredResource> puts) {
        long changeBytes = 0;
        long resources = (long) state.size() - submission.deletes().size();
        long stateBytes = state.bytes();
        for (StoredResource put : puts) {
            Optional<StoredResource> current = state.find(put.key());
            int bytes = JsonPageBuilder.sizeOf(put);
            changeBytes += bytes;
            stateBytes += bytes - current.map(JsonPageBuilder::sizeOf).orElse(0);
            resources += current.isEmpty() ? 1 : 0;
        }
        checkSize("bytes of the change", changeBytes, StateLimits.MAX_CHANGE_BYTES);
        checkSize("resources in all", resources, StateLimits.MAX_RESOURCES);
        checkSize("bytes of all resources", stateBytes, StateLimits.MAX_STATE_BYTES);
    }

    private void checkSize(String what, long size, long max) {
        if (size > max) {
            addError("put", size + " " + what, max + " " + what + " at most");
        }
    }

    private void addError(String key, String value, String allowed) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new FieldError(key, value, allowed));
        }
    }
}
