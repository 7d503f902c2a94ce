// SPDX-License-Identifier: Apache-2.0

/** Benchmarks of one node at the sizes that docs/CAPACITY.md names. */
package ottergauge.capacity;
