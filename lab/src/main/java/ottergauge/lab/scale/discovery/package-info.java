// SPDX-License-Identifier: Apache-2.0
/** A stand-in for discovery as a process of its own, for lists of thousands of servers. */
package ottergauge.lab.scale.discovery;
