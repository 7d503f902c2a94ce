// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Paths of the protocol's HTTP requests, except those of clients' requests to servers. */
public final class Paths {

    /** Readiness of a node. */
    public static final String READY = "/health/ready";

    /** Liveness of a node. */
    public static final String LIVE = "/health/live";

    /** A server's load report. */
    public static final String STATS = "/stats";

    /** Discovery's endpoint list. */
    public static final String ENDPOINTS = "/registry/instances";

    private Paths() {}
}
