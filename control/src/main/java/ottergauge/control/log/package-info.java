// SPDX-License-Identifier: Apache-2.0

/**
 * The log of changes: checks and orders changes, keeps the state and the newest changes, and
 * answers calls from both. Free of I/O, clock, threads and randomness: the same submissions in the
 * same order give the same state, which is what lets several processes agree on it.
 */
package ottergauge.control.log;
