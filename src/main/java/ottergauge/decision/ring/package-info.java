// SPDX-License-Identifier: Apache-2.0

/** A consistent-hash ring with weighted arcs: a data structure that makes no decisions. */
package ottergauge.decision.ring;
