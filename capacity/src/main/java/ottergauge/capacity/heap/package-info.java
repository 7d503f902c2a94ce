// SPDX-License-Identifier: Apache-2.0

/** Measures retained heap with JOL (Java Object Layout). */
package ottergauge.capacity.heap;
