// SPDX-License-Identifier: Apache-2.0

/** Real processes of the node, started by the line {@code run} of deploy/balancer.toml. */
package ottergauge.capacity.node;
