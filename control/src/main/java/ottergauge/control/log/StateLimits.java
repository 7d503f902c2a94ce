// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * Limits of the state that a log accepts. They decide outcomes, which have to be the same in all
 * processes of a group: therefore constants rather than settings.
 */
public final class StateLimits {

    /** Resources in total. */
    public static final int MAX_RESOURCES = 200_000;

    /** Bytes of JSON of all resources in total. */
    public static final long MAX_STATE_BYTES = 64L << 20;

    /** Bytes of JSON of one change. */
    public static final int MAX_CHANGE_BYTES = 256 << 10;

    private StateLimits() {}
}
