// SPDX-License-Identifier: Apache-2.0

/** Open-loop requests, timed from the instant at which each was intended. */
package ottergauge.capacity.load;
