// SPDX-License-Identifier: Apache-2.0

/**
 * A circle of weighted arcs, as consistent hashing uses it: a data structure that holds no choice.
 */
package ottergauge.decision.ring;
