// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.ResourceKey;

/** Why a response can't be what a log holds; {@link Object#toString} gives a phrase for a log. */
public sealed interface ResponseError {

    /** The process has reached this version only, and the node has a newer one. */
    record StaleVersion(long version, long known) implements ResponseError {
        @Override
        public String toString() {
            return "version " + version + " is older than version " + known + " of the node";
        }
    }

    /** A change doesn't follow the one before it. */
    record ChangeOutOfOrder(long version) implements ResponseError {
        @Override
        public String toString() {
            return "change " + version + " is out of order";
        }
    }

    /** A page has a change past the version that it says it reaches. */
    record ChangePastPage(long version, long upTo) implements ResponseError {
        @Override
        public String toString() {
            return "change " + version + " is past version " + upTo + " of its page";
        }
    }

    /** An entry of a snapshot doesn't follow the one before it, or the key that was queried. */
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

    /** The next page of a snapshot would not lie behind this one. */
    record NextPageOutOfOrder(ResourceKey next) implements ResponseError {
        @Override
        public String toString() {
            return "next page at resource " + next + " is out of order";
        }
    }
}
