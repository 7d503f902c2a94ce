// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Locale;

/** The role of a control process in its group. */
public enum Role {
    /** Orders all submissions. */
    LEADER,
    /** Votes, and forwards submissions to the leader. */
    FOLLOWER,
    /** A voter that knows no leader. */
    CANDIDATE,
    /** Replicates the log without a vote. */
    LISTENER,
    /** Has not joined the group yet. */
    STARTING;

    /** The name of the role in the JSON of the status call. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
