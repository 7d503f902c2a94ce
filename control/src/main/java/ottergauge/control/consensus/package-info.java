// SPDX-License-Identifier: Apache-2.0

/**
 * How a submission becomes a change that can't be lost, and the log that all changes are applied
 * to.
 */
package ottergauge.control.consensus;
