// SPDX-License-Identifier: Apache-2.0

/**
 * Rows of a table that names come to and go from while it is used: a data structure that holds no
 * choice.
 */
package ottergauge.decision.index;
