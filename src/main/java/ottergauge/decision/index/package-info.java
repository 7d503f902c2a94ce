// SPDX-License-Identifier: Apache-2.0

/**
 * The index of classes, which come and go while it is used: a data structure that makes no choice.
 */
package ottergauge.decision.index;
