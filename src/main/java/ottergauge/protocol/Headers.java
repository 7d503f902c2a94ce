// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Names of the protocol's HTTP header fields. */
public final class Headers {

    /** The client's identifier of its request. */
    public static final String TRACE_ID = "X-Trace-Id";

    /** Name of the request's class. */
    public static final String REQUEST_CLASS = "X-Qos";

    /** How long the client waits, in milliseconds. */
    public static final String EXPIRES_IN_MS = "X-Expires-In-Ms";

    /** {@code 1} on a client's retry. */
    public static final String SECOND_TRY = "X-Second-Try";

    /** Idempotency key of a keyed request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** When a rejected client should retry. */
    public static final String RETRY_AFTER = "Retry-After";

    /** Marks the response to a request that the server did not run. */
    public static final String NEVER_RAN = "X-Never-Ran";

    /** A server's load report. */
    public static final String LOAD = "Endpoint-Load-Metrics";

    private Headers() {}
}
