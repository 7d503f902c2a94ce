// SPDX-License-Identifier: Apache-2.0

/**
 * Limits and estimates that are learnt from numbers and know no servers or requests: an adaptive
 * concurrency limit, a retry budget, the capacity of a server, the freshness of reports, the
 * schedule of a warm-up.
 */
package ottergauge.decision.limits;
