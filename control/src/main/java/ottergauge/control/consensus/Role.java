// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Locale;

/** What a control process is among those of its group. */
public enum Role {
    /** Orders the submissions of all. */
    LEADER,
    /** Votes, and forwards submissions to the leader. */
    FOLLOWER,
    /** A voter that knows of no leader. */
    CANDIDATE,
    /** Takes all changes and has no vote. */
    LISTENER,
    /** Doesn't take part yet. */
    STARTING;

    /** The role's name in messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
