// SPDX-License-Identifier: Apache-2.0
/**
 * The ways between regions and what they reach, as a process that relays bytes and can be told to
 * stop.
 */
package ottergauge.lab.scale.link;
