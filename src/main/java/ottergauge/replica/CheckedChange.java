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

/**
 * A change of a page, and what is wrong with it; {@code change} is null if it could not be read.
 */
record CheckedChange(long version, Change change, Optional<FieldError> fault) {

    /** The changes of a page, in the order of their versions. */
    static List<CheckedChange> of(ChangePage page, Function<Change, Optional<FieldError>> check) {
        List<CheckedChange> changes = new ArrayList<>();
        for (Change change : page.changes()) {
            changes.add(new CheckedChange(change.version(), change, check.apply(change)));
        }
        for (UnreadableChange change : page.unreadable()) {
            changes.add(new CheckedChange(change.version(), null, Optional.of(change.error())));
        }
        changes.sort(Comparator.comparingLong(CheckedChange::version));
        return changes;
    }
}
