// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Limits of the bodies of requests and responses. */
public final class BodyLimits {

    /** The largest body that is buffered; a larger one is streamed. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** The largest body that is streamed. The protocol requires at least 32 MB. */
    public static final long MAX_STREAMED_BYTES = 40L << 20;

    private BodyLimits() {}
}
