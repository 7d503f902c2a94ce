// SPDX-License-Identifier: Apache-2.0
/**
 * The network links from the regions to discovery. A separate process relays the bytes and can cut
 * each link.
 */
package ottergauge.lab.scale.link;
