// SPDX-License-Identifier: Apache-2.0

/** Measures node processes, which the {@code run} command of deploy/balancer.toml starts. */
package ottergauge.capacity.node;
