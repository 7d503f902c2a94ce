// SPDX-License-Identifier: Apache-2.0

/**
 * Limits and estimates that are computed from numbers alone and don't depend on servers or
 * requests: an adaptive concurrency limit, a retry budget, the capacity of a server, the freshness
 * of load reports and the warm-up schedule.
 */
package ottergauge.decision.limits;
