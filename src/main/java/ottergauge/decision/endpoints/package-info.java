// SPDX-License-Identifier: Apache-2.0

/**
 * The list of servers: {@link ottergauge.decision.endpoints.EndpointUpdater} applies its updates,
 * {@link ottergauge.decision.endpoints.DiscoveryPoller} asks for them.
 */
package ottergauge.decision.endpoints;
