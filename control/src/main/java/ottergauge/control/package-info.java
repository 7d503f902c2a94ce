// SPDX-License-Identifier: Apache-2.0

/**
 * The control role: accepts changes of the state that all nodes share and tells them to the nodes.
 */
package ottergauge.control;
