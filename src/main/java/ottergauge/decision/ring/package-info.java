// SPDX-License-Identifier: Apache-2.0

/** A consistent-hash ring with weighted arcs: a data structure that makes no choice. */
package ottergauge.decision.ring;
