// SPDX-License-Identifier: Apache-2.0

/**
 * A node's replica of the state that all nodes share: follows the log of a group of control
 * processes by calls that somebody else carries out, and says what comes in force. A reducer: no
 * I/O, no clock, no threads. docs/control.md describes the calls.
 */
package ottergauge.replica;
