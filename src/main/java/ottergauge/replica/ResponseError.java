// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.ResourceKey;

/**
 * Why a response is not a valid part of a log; {@link Object#toString} returns a phrase for a log
 * line.
 */
public sealed interface ResponseError {

    /** The control process has only reached this version, which is older than the node's. */
    record StaleVersion(long version, long known) implements ResponseError {
        @Override
        public String toString() {
            return "version " + version + " is older than version " + known + " of the node";
        }
    }

    /** The version of a change is not higher than that of the previous change. */
    record ChangeOutOfOrder(long version) implements ResponseError {
        @Override
        public String toString() {
            return "change " + version + " is out of order";
        }
    }

    /** A change is newer than the version that its page claims to reach. */
    record ChangePastPage(long version, long upTo) implements ResponseError {
        @Override
        public String toString() {
            return "change " + version + " is past version " + upTo + " of its page";
        }
    }

    /**
     * The key of a snapshot entry is not after that of the previous entry, or is before the queried
     * key.
     */
    record ResourceOutOfOrder(ResourceKey key) implements ResponseError {
        @Override
        public String toString() {
            return "resource " + key + " is out of order";
        }
    }

    /** An entry of a snapshot is newer than its page. */
    record ResourcePastPage(ResourceKey key, long version) implements ResponseError {
        @Override
        public String toString() {
            return "resource " + key + " is newer than version " + version + " of its page";
        }
    }

    /** The key of the next snapshot page is not after the entries of this page. */
    record NextPageOutOfOrder(ResourceKey next) implements ResponseError {
        @Override
        public String toString() {
            return "next page at resource " + next + " is out of order";
        }
    }
}
