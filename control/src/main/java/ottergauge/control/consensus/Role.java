// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Locale;

/** The role of a control process in its group. */
public enum Role {
    /** The process orders all submissions. */
    LEADER,
    /** The process votes, and forwards submissions to the leader. */
    FOLLOWER,
    /** The process votes, and knows no leader. */
    CANDIDATE,
    /** The process replicates the log but doesn't vote. */
    LISTENER,
    /** The process has not joined the group yet. */
    STARTING;

    /** The name of the role in the JSON of the status call. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
