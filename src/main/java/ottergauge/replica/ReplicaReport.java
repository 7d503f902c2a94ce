// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import ottergauge.protocol.Address;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;

/** Something that people are told of; {@link Object#toString} gives one line for a log. */
public sealed interface ReplicaReport {

    /** A change was refused whole: what it touches keeps the value that it had. */
    record ChangeRejected(long version, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return "change " + version + " is refused: " + error;
        }
    }

    /** An entry of a snapshot or of a stored state was refused: it keeps the value that it had. */
    record ResourceRejected(Optional<ResourceKey> key, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return key.map(each -> "resource " + each).orElse("a resource")
                    + " is refused: "
                    + error;
        }
    }

    /** The whole state is larger than the replica takes: the one in force stays. */
    record StateTooLarge(int resources, long bytes, ReplicaLimits limits) implements ReplicaReport {
        @Override
        public String toString() {
            return "the state is refused: it has at least "
                    + resources
                    + " resources and "
                    + bytes
                    + " bytes, "
                    + limits.resources()
                    + " and "
                    + limits.bytes()
                    + " are allowed";
        }
    }

    /** An answer was not taken. */
    record ResponseRejected(Address from, String reason) implements ReplicaReport {
        @Override
        public String toString() {
            return "an answer of " + from + " is not taken: " + reason;
        }
    }

    /** A call had no answer in time. */
    record CallTimedOut(Address endpoint) implements ReplicaReport {
        @Override
        public String toString() {
            return "a call to " + endpoint + " had no answer in time";
        }
    }

    /** Whole snapshots are fetched from here on. */
    record SnapshotStarted(Address from) implements ReplicaReport {
        @Override
        public String toString() {
            return "a snapshot is fetched from " + from;
        }
    }

    /** A state has come in force. */
    record StateEffective(LogPosition position, int puts, int deletes) implements ReplicaReport {
        @Override
        public String toString() {
            return "version "
                    + position.version()
                    + " of "
                    + position.log()
                    + " is in force: "
                    + puts
                    + " put, "
                    + deletes
                    + " deleted";
        }
    }
}
