// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * Limits how many of the newest changes are retained for subscribers that resume. The newest change
 * is always retained. The processes of a group may use different limits, because the limits don't
 * affect the outcome of a submission.
 *
 * @param maxChanges the maximum number of changes, at least 1
 * @param maxBytes the maximum bytes of their JSON, at least 1
 */
public record LogRetention(int maxChanges, long maxBytes) {

    /** The default retention. */
    public static final LogRetention DEFAULT = new LogRetention(50_000, 32L << 20);

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if one of them is less than 1
     */
    public LogRetention {
        if (maxChanges < 1 || maxBytes < 1) {
            throw new IllegalArgumentException(
                    "log retention has to be at least 1: maxChanges="
                            + maxChanges
                            + ", maxBytes="
                            + maxBytes);
        }
    }
}
