// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.UnreadableChange;

/** A change of a page, with the result of its validation. */
sealed interface ValidatedChange {

    long version();

    /** A change that the node can apply. */
    record Valid(Change change) implements ValidatedChange {
        @Override
        public long version() {
            return change.version();
        }
    }

    /** A change that could not be read, or that the node can't apply. */
    record Invalid(long version, FieldError error) implements ValidatedChange {}

    /** The changes of a page, in the order of their versions. */
    static List<ValidatedChange> of(ChangePage page, Function<Change, Optional<FieldError>> check) {
        List<ValidatedChange> changes = new ArrayList<>();
        for (Change change : page.changes()) {
            Optional<FieldError> error = check.apply(change);
            changes.add(
                    error.isPresent()
                            ? new Invalid(change.version(), error.get())
                            : new Valid(change));
        }
        for (UnreadableChange change : page.unreadable()) {
            changes.add(new Invalid(change.version(), change.error()));
        }
        changes.sort(Comparator.comparingLong(ValidatedChange::version));
        return changes;
    }
}
