// SPDX-License-Identifier: Apache-2.0
/**
 * A stand-in for discovery that runs as its own process and serves lists of thousands of servers.
 */
package ottergauge.lab.scale.discovery;
