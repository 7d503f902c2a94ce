// SPDX-License-Identifier: Apache-2.0

/** Stand-ins for discovery and for servers, on loopback addresses. They count their traffic. */
package ottergauge.capacity.standin;
