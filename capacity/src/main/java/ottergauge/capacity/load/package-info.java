// SPDX-License-Identifier: Apache-2.0

/** An open-loop load generator. Latencies count from the intended send time of each request. */
package ottergauge.capacity.load;
