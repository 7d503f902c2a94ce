// SPDX-License-Identifier: Apache-2.0

/**
 * Brings a list of servers that discovery keeps into the log: follows it and publishes what
 * differs.
 */
package ottergauge.control.discovery;
