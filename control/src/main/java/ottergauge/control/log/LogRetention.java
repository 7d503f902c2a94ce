// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * How many of the newest changes are kept for subscribers that resume, by number and by bytes of
 * JSON. The newest change is always kept. Processes of one group may differ in it: it decides no
 * outcome.
 */
public record LogRetention(int maxChanges, long maxBytes) {

    public static final LogRetention DEFAULT = new LogRetention(50_000, 32L << 20);

    public LogRetention {
        if (maxChanges < 1 || maxBytes < 1) {
            throw new IllegalArgumentException(
                    "limits are at least 1: " + maxChanges + ", " + maxBytes);
        }
    }
}
