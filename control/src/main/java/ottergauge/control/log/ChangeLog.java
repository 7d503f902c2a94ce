// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

/**
 * A log of changes and the state that results from them. Applies submissions and serves
 * subscribers. The cost of an operation is proportional to the size of the change, to the number of
 * changes by which a subscriber lags, or to the size of the page, but never to the size of the
 * state. Not thread-safe.
 */
public final class ChangeLog {

    /** The version of a log that has no changes yet. */
    public static final long NO_VERSION = 0;

    private static final ResourceKey FIRST_KEY = new ResourceKey(ResourceKind.SERVICE, "");

    private final String log;
    private final ResourceState state = new ResourceState();
    private final IdempotencyCache outcomes = new IdempotencyCache();
    private final RecentChanges changes;
    private long version;

    /**
     * Creates an empty log.
     *
     * @param log the log's identifier
     * @throws IllegalArgumentException if the identifier is not a valid name
     */
    public ChangeLog(String log, LogRetention retention) {
        this(log, retention, NO_VERSION, NO_VERSION);
    }

    private ChangeLog(String log, LogRetention retention, long version, long changesAfter) {
        if (!ResourceValidator.isValidName(log)) {
            throw new IllegalArgumentException(
                    "log identifier \"" + log + "\" is not " + ResourceValidator.NAME_FORMAT);
        }
        this.log = log;
        this.version = version;
        changes = new RecentChanges(retention, changesAfter);
    }

    /** The position of the newest change. */
    public LogPosition position() {
        return new LogPosition(log, version);
    }

    /** The oldest retained version; the version after the newest one if no change is retained. */
    public long oldest() {
        return changes.oldest();
    }

    /** The number of resources. */
    public int size() {
        return state.size();
    }

    /**
     * Validates a submission and, if it is valid, appends it as the newest change. A submission
     * whose id was used recently changes nothing and returns the outcome of the first submission
     * with that id.
     */
    public SubmissionOutcome apply(Submission submission) {
        Optional<SubmissionOutcome> cached = outcomes.get(submission.id());
        if (cached.isPresent()) {
            return cached.get();
        }
        SubmissionOutcome outcome = validateAndAppend(submission);
        if (ResourceValidator.isValidName(submission.id())) {
            outcomes.put(submission.id(), outcome);
        }
        return outcome;
    }

    private SubmissionOutcome validateAndAppend(Submission submission) {
        List<FieldError> errors = ResourceValidator.errors(submission);
        if (!errors.isEmpty()) {
            return new SubmissionOutcome.Rejected(errors);
        }
        List<StoredResource> puts = encode(submission.puts(), version + 1);
        errors = SubmissionValidator.errors(state, submission, puts);
        if (!errors.isEmpty()) {
            return new SubmissionOutcome.Rejected(errors);
        }
        append(new StoredChange(version + 1, puts, deletesOf(submission)));
        return new SubmissionOutcome.Accepted(position());
    }

    private static List<StoredResource> encode(List<Change.Put> puts, long version) {
        List<StoredResource> encoded = new ArrayList<>(puts.size());
        for (Change.Put put : puts) {
            encoded.add(StoredResource.of(new Resource(put.key(), version, put.value())));
        }
        return encoded;
    }

    private List<Change.Delete> deletesOf(Submission submission) {
        return submission.deletes().stream()
                .map(key -> new Change.Delete(key, state.find(key).orElseThrow().service()))
                .toList();
    }

    private void append(StoredChange change) {
        state.apply(change);
        changes.add(change);
        version = change.version();
    }

    /**
     * Returns the changes after a position that match a subscription, in order: as many as fit into
     * {@code maxBytes}, but at least one if there are any. The end position of the page may be
     * after its last change.
     *
     * @param maxBytes the maximum size in bytes of JSON
     */
    public PollResponse changesAfter(LogPosition after, Subscription subscription, int maxBytes) {
        if (!after.log().equals(log) || after.version() < changes.oldest() - 1) {
            return new PollResponse.VersionUnavailable(position(), changes.oldest());
        }
        if (after.version() > version) {
            return new PollResponse.Ahead(position());
        }
        List<StoredChange> page = new ArrayList<>();
        int bytes = 0;
        for (long next = after.version() + 1; next <= version; next++) {
            StoredChange filtered = changes.get(next).filteredBy(subscription);
            int size = filtered.isEmpty() ? 0 : JsonPageBuilder.sizeOf(filtered);
            if (!page.isEmpty() && bytes + size > maxBytes) {
                return new PollResponse.Changes(
                        new EncodedChanges(new LogPosition(log, next - 1), page));
            }
            if (!filtered.isEmpty()) {
                page.add(filtered);
                bytes += size;
            }
        }
        return new PollResponse.Changes(new EncodedChanges(position(), page));
    }

    /**
     * Returns a page of the resources that match a subscription, in the order of their keys: as
     * many as fit into {@code maxBytes}, but at least one if there are any.
     *
     * @param from the first key of the page; empty for the first page
     * @param maxBytes the maximum size in bytes of JSON
     */
    public EncodedSnapshot snapshot(
            Optional<ResourceKey> from, Subscription subscription, int maxBytes) {
        List<StoredResource> page = new ArrayList<>();
        int bytes = 0;
        for (StoredResource resource : state.from(from.orElse(FIRST_KEY))) {
            if (!subscription.matches(resource.key(), resource.service())) {
                continue;
            }
            int size = JsonPageBuilder.sizeOf(resource);
            if (!page.isEmpty() && bytes + size > maxBytes) {
                return new EncodedSnapshot(position(), page, Optional.of(resource.key()));
            }
            page.add(resource);
            bytes += size;
        }
        return new EncodedSnapshot(position(), page, Optional.empty());
    }

    /** Captures the current content of the log. Another thread may encode the result later. */
    public LogSnapshot capture() {
        return new LogSnapshot(position(), List.copyOf(state.all()), changes.all(), outcomes.all());
    }

    /**
     * Restores a log from the stored form of a snapshot. Retains as many of its newest changes as
     * {@code retention} allows.
     *
     * @throws ProtocolException if the bytes are not a valid log snapshot
     */
    public static ChangeLog restore(byte[] storedSnapshot, LogRetention retention)
            throws ProtocolException {
        LogSnapshot snapshot = LogSnapshot.decode(storedSnapshot);
        LogPosition position = snapshot.position();
        long changesAfter = position.version() - snapshot.changes().size();
        ChangeLog restored =
                new ChangeLog(position.log(), retention, position.version(), changesAfter);
        snapshot.resources().forEach(restored.state::put);
        snapshot.changes().forEach(restored.changes::add);
        snapshot.outcomes().forEach(each -> restored.outcomes.put(each.id(), each.outcome()));
        return restored;
    }
}
