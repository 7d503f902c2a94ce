// SPDX-License-Identifier: Apache-2.0

/**
 * The index of request classes, which may be added and removed at runtime: a data structure that
 * makes no decisions.
 */
package ottergauge.decision.index;
