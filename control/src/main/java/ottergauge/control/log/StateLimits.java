// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * Bounds of what a log accepts. They decide outcomes, so that they are the same for all processes
 * of a group: constants, and no settings.
 */
public final class StateLimits {

    /** Resources in all. */
    public static final int MAX_RESOURCES = 200_000;

    /** Bytes of JSON of all resources together. */
    public static final long MAX_STATE_BYTES = 64L << 20;

    /** Bytes of JSON of one change. */
    public static final int MAX_CHANGE_BYTES = 256 << 10;

    private StateLimits() {}
}
