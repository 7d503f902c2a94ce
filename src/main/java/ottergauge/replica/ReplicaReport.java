// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import ottergauge.protocol.Address;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;

/** An entry of the operators' log; {@link Object#toString} returns it as one line. */
public sealed interface ReplicaReport {

    /**
     * A change was rejected completely. The resources that it would modify keep their effective
     * values.
     */
    record ChangeRejected(long version, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return "change " + version + " rejected: " + error;
        }
    }

    /**
     * An entry of a snapshot or of a stored state was rejected. The resource keeps its effective
     * value.
     */
    record ResourceRejected(Optional<ResourceKey> key, FieldError error) implements ReplicaReport {
        @Override
        public String toString() {
            return key.map(each -> "resource " + each).orElse("resource with no readable key")
                    + " rejected: "
                    + error;
        }
    }

    /** A snapshot exceeds the limits. The effective state is kept. */
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

    /** A response was rejected. The replica calls the next control process. */
    record ResponseRejected(Address endpoint, ResponseError reason) implements ReplicaReport {
        @Override
        public String toString() {
            return "response of " + endpoint + " rejected: " + reason;
        }
    }

    /** No response to a call arrived before its timeout. */
    record CallTimedOut(Address endpoint) implements ReplicaReport {
        @Override
        public String toString() {
            return "call to " + endpoint + " timed out";
        }
    }

    /** The replica starts to fetch a snapshot because it can't continue with changes. */
    record SnapshotStarted(Address endpoint) implements ReplicaReport {
        @Override
        public String toString() {
            return "fetching a snapshot from " + endpoint;
        }
    }

    /** A new state became effective. */
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
