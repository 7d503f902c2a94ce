// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * How many of the newest changes are retained for subscribers that resume. The newest change is
 * always retained. Processes of one group may differ in it, since it decides no outcome.
 *
 * @param maxChanges number of changes, at least 1
 * @param maxBytes bytes of their JSON, at least 1
 */
public record LogRetention(int maxChanges, long maxBytes) {

    /** Retention unless the configuration says otherwise. */
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
