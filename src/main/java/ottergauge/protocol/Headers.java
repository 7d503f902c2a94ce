// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Header fields and paths of the protocol. */
public final class Headers {

    public static final String TRACE_ID = "X-Trace-Id";
    public static final String REQUEST_CLASS = "X-Qos";
    public static final String EXPIRES_IN_MS = "X-Expires-In-Ms";
    public static final String SECOND_TRY = "X-Second-Try";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String RETRY_AFTER = "Retry-After";
    public static final String NEVER_RAN = "X-Never-Ran";
    public static final String LOAD = "Endpoint-Load-Metrics";

    public static final String READY_PATH = "/health/ready";
    public static final String LIVE_PATH = "/health/live";
    public static final String STATS_PATH = "/stats";
    public static final String LIST_PATH = "/registry/instances";

    /** The largest body either way that is kept whole; past it a body flows. */
    public static final int MOST_BODY = 64 * 1024;

    /** The largest body either way: 32 MB have to pass, and some more do no harm. */
    public static final long MOST_FLOW = 40L << 20;

    private Headers() {}
}
