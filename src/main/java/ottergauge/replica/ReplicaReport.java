// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import ottergauge.protocol.Address;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;

/** Something for the operators' log; {@link Object#toString} gives one line. */
public sealed interface ReplicaReport {

    /** A change was rejected completely: what it touches keeps its effective value. */
    record ChangeRejected(long version, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return "change " + version + " rejected: " + error;
        }
    }

    /** An entry of a snapshot or of a stored state was rejected; it keeps its effective value. */
    record ResourceRejected(Optional<ResourceKey> key, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return key.map(each -> "resource " + each).orElse("resource with no readable key")
                    + " rejected: "
                    + error;
        }
    }

    /** A snapshot exceeds the limits: the effective state stays. */
    record StateTooLarge(int resources, long bytes, ReplicaLimits limits) implements ReplicaReport {
        @Override
        public String toString() {
            return "snapshot rejected: it has at least "
                    + resources
                    + " resources and "
                    + bytes
                    + " bytes, the limits are "
                    + limits.maxResources()
                    + " and "
                    + limits.maxBytes();
        }
    }

    /** A response was rejected, and the next control process is called. */
    record ResponseRejected(Address endpoint, ResponseError reason) implements ReplicaReport {
        @Override
        public String toString() {
            return "response of " + endpoint + " rejected: " + reason;
        }
    }

    /** A call had no response in time. */
    record CallTimedOut(Address endpoint) implements ReplicaReport {
        @Override
        public String toString() {
            return "call to " + endpoint + " timed out";
        }
    }

    /** A snapshot is fetched instead of changes. */
    record SnapshotStarted(Address endpoint) implements ReplicaReport {
        @Override
        public String toString() {
            return "fetching a snapshot from " + endpoint;
        }
    }

    /** A state became effective. */
    record StateEffective(LogPosition position, int puts, int deletes) implements ReplicaReport {
        @Override
        public String toString() {
            return "version "
                    + position.version()
                    + " of log "
                    + position.log()
                    + " is effective: "
                    + puts
                    + " put, "
                    + deletes
                    + " deleted";
        }
    }
}
