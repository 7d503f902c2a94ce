// SPDX-License-Identifier: Apache-2.0

/** What objects retain on the heap, by JOL. */
package ottergauge.capacity.heap;
