// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

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
    private final OutcomeMemory outcomes = new OutcomeMemory();
    private final RecentChanges changes;
    private long version;

    /** A log with this identifier and nothing in it. */
    public ChangeLog(String log, LogLimits limits) {
        this(log, limits, NO_VERSION, NO_VERSION);
    }

    private ChangeLog(String log, LogLimits limits, long version, long changesAfter) {
        if (!ResourceValidator.isValidName(log)) {
            throw new IllegalArgumentException(
                    "a log's identifier is " + ResourceValidator.NAME_FORMAT);
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
    public Outcome apply(Submission submission) {
        Optional<Outcome> before = outcomes.of(submission.id());
        if (before.isPresent()) {
            return before.get();
        }
        Outcome outcome = decide(submission);
        if (ResourceValidator.isValidName(submission.id())) {
            outcomes.remember(submission.id(), outcome);
        }
        return outcome;
    }

    private Outcome decide(Submission submission) {
        List<FieldError> faults = ResourceValidator.errors(submission);
        if (!faults.isEmpty()) {
            return new Outcome.Invalid(faults);
        }
        List<StoredResource> puts = encode(submission.puts(), version + 1);
        faults = SubmissionCheck.faults(state, submission, puts);
        if (!faults.isEmpty()) {
            return new Outcome.Invalid(faults);
        }
        accept(new StoredChange(version + 1, puts, deletesOf(submission)));
        return new Outcome.Accepted(position());
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
    public Answer changesAfter(LogPosition after, Subscription subscription, int mostBytes) {
        if (!after.log().equals(log) || after.version() < changes.oldest() - 1) {
            return new Answer.VersionTooOld(position(), changes.oldest());
        }
        if (after.version() > version) {
            return new Answer.Ahead(position());
        }
        List<StoredChange> page = new ArrayList<>();
        int bytes = 0;
        for (long each = after.version() + 1; each <= version; each++) {
            StoredChange followed = changes.get(each).followedBy(subscription);
            int size = followed.isEmpty() ? 0 : JsonBytes.sizeOf(followed);
            if (!page.isEmpty() && bytes + size > mostBytes) {
                return new Answer.Changes(new EncodedChanges(new LogPosition(log, each - 1), page));
            }
            if (!followed.isEmpty()) {
                page.add(followed);
                bytes += size;
            }
        }
        return new Answer.Changes(new EncodedChanges(position(), page));
    }

    /**
     * A page of the resources that a subscription follows, from a key on or from the first one: as
     * many as fit into this many bytes, but one at least.
     */
    public EncodedSnapshot snapshot(
            Optional<ResourceKey> from, Subscription subscription, int mostBytes) {
        List<StoredResource> page = new ArrayList<>();
        int bytes = 0;
        for (StoredResource resource : state.from(from.orElse(FIRST_KEY))) {
            if (!subscription.matches(resource.key(), resource.service())) {
                continue;
            }
            int size = JsonBytes.sizeOf(resource);
            if (!page.isEmpty() && bytes + size > mostBytes) {
                return new EncodedSnapshot(position(), page, Optional.of(resource.key()));
            }
            page.add(resource);
            bytes += size;
        }
        return new EncodedSnapshot(position(), page, Optional.empty());
    }

    /** What the log holds at this instant; it can be encoded later, by another thread. */
    public LogImage capture() {
        return new LogImage(position(), List.copyOf(state.all()), changes.all(), outcomes.all());
    }

    /** The whole log as bytes, from which it can be restored. */
    public byte[] image() {
        return capture().encode();
    }

    /** A log as an image has it; of its changes the newest are kept that the limits allow. */
    public static ChangeLog restore(byte[] image, LogLimits limits) throws ProtocolException {
        LogImage read = LogImage.decode(image);
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
