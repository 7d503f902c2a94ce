// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

/**
 * Limits of the state that a log accepts. They affect the outcomes of submissions, which have to be
 * the same in all processes of a group. They are therefore constants and not settings.
 */
public final class StateLimits {

    /** The maximum number of resources. */
    public static final int MAX_RESOURCES = 200_000;

    /** The maximum bytes of JSON of all resources together. */
    public static final long MAX_STATE_BYTES = 64L << 20;

    /** The maximum bytes of JSON of one change. */
    public static final int MAX_CHANGE_BYTES = 256 << 10;

    private StateLimits() {}
}
