// SPDX-License-Identifier: Apache-2.0

/**
 * Stand-ins for discovery and for servers, on loopback addresses, which count what a node asks of
 * them.
 */
package ottergauge.capacity.standin;
