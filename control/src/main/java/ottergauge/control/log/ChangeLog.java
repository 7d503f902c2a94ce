// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceChecks;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A log of changes with the state that they make: accepts submissions and tells subscribers of
 * them. What an operation costs goes by the change, or by the changes that a subscriber is behind,
 * never by the state. Not safe for use by several threads at once.
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

    /** A log with this identifier and nothing in it. */
    public ChangeLog(String log, LogRetention limits) {
        this(log, limits, NO_VERSION, NO_VERSION);
    }

    private ChangeLog(String log, LogRetention limits, long version, long changesAfter) {
        if (!ResourceChecks.isName(log)) {
            throw new IllegalArgumentException("a log's identifier is " + ResourceChecks.NAME_FORM);
        }
        this.log = log;
        this.version = version;
        changes = new RecentChanges(limits, changesAfter);
    }

    public LogPosition position() {
        return new LogPosition(log, version);
    }

    /** The oldest change that is kept; the one after the newest if none is. */
    public long oldest() {
        return changes.oldest();
    }

    /** How many resources there are. */
    public int size() {
        return state.size();
    }

    /**
     * Checks a submission whole and, if nothing is wrong with it, makes it the newest change. One
     * of which the id was seen lately changes nothing and gets the answer that it got then.
     */
    public SubmissionOutcome apply(Submission submission) {
        Optional<SubmissionOutcome> before = outcomes.of(submission.id());
        if (before.isPresent()) {
            return before.get();
        }
        SubmissionOutcome outcome = decide(submission);
        if (ResourceChecks.isName(submission.id())) {
            outcomes.remember(submission.id(), outcome);
        }
        return outcome;
    }

    private SubmissionOutcome decide(Submission submission) {
        List<FieldError> faults = ResourceChecks.faults(submission);
        if (!faults.isEmpty()) {
            return new SubmissionOutcome.Rejected(faults);
        }
        List<StoredResource> puts = encode(submission.puts(), version + 1);
        faults = SubmissionValidator.faults(state, submission, puts);
        if (!faults.isEmpty()) {
            return new SubmissionOutcome.Rejected(faults);
        }
        accept(new StoredChange(version + 1, puts, deletesOf(submission)));
        return new SubmissionOutcome.Accepted(position());
    }

    private static List<StoredResource> encode(List<Change.Put> puts, long version) {
        List<StoredResource> encoded = new ArrayList<>(puts.size());
        for (Change.Put put : puts) {
            byte[] json = ResourceCodec.write(put.value());
            encoded.add(new StoredResource(put.key(), version, put.value(), json));
        }
        return encoded;
    }

    private List<Change.Delete> deletesOf(Submission submission) {
        return submission.deletes().stream()
                .map(key -> new Change.Delete(key, state.get(key).service()))
                .toList();
    }

    private void accept(StoredChange change) {
        state.apply(change);
        changes.add(change);
        version = change.version();
    }

    /**
     * The changes that a subscription follows after a version, in order: as many as fit into this
     * many bytes, but one at least. What the answer reaches up to may be past its last change.
     */
    public PollResponse changesAfter(LogPosition after, Subscription subscription, int maxBytes) {
        if (!after.log().equals(log) || after.version() < changes.oldest() - 1) {
            return new PollResponse.VersionTooOld(position(), changes.oldest());
        }
        if (after.version() > version) {
            return new PollResponse.Ahead(position());
        }
        List<StoredChange> page = new ArrayList<>();
        int bytes = 0;
        for (long each = after.version() + 1; each <= version; each++) {
            StoredChange followed = changes.get(each).followedBy(subscription);
            int size = followed.isEmpty() ? 0 : JsonPageBuilder.sizeOf(followed);
            if (!page.isEmpty() && bytes + size > maxBytes) {
                return new PollResponse.Changes(
                        new EncodedChanges(new LogPosition(log, each - 1), page));
            }
            if (!followed.isEmpty()) {
                page.add(followed);
                bytes += size;
            }
        }
        return new PollResponse.Changes(new EncodedChanges(position(), page));
    }

    /**
     * A page of the resources that a subscription follows, from a key on or from the first one: as
     * many as fit into this many bytes, but one at least.
     */
    public EncodedSnapshot snapshot(
            Optional<ResourceKey> from, Subscription subscription, int maxBytes) {
        List<StoredResource> page = new ArrayList<>();
        int bytes = 0;
        for (StoredResource resource : state.from(from.orElse(FIRST_KEY))) {
            if (!subscription.follows(resource.key(), resource.service())) {
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

    /** What the log holds at this instant; it can be encoded later, by another thread. */
    public LogSnapshot capture() {
        return new LogSnapshot(position(), List.copyOf(state.all()), changes.all(), outcomes.all());
    }

    /** The whole log as bytes, from which it can be restored. */
    public byte[] snapshotBytes() {
        return capture().encode();
    }

    /** A log as an image has it; of its changes the newest are kept that the limits allow. */
    public static ChangeLog restore(byte[] snapshotBytes, LogRetention limits)
            throws ProtocolException {
        LogSnapshot read = LogSnapshot.decode(snapshotBytes);
        long changesAfter = read.position().version() - read.changes().size();
        ChangeLog restored =
                new ChangeLog(
                        read.position().log(), limits, read.position().version(), changesAfter);
        read.resources().forEach(restored.state::put);
        read.changes().forEach(restored.changes::add);
        read.outcomes().forEach(each -> restored.outcomes.remember(each.id(), each.outcome()));
        return restored;
    }
}
