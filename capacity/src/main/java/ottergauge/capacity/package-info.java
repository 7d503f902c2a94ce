// SPDX-License-Identifier: Apache-2.0

/** Measures one node of the load balancer at the fleet sizes that docs/CAPACITY.md names. */
package ottergauge.capacity;
