// SPDX-License-Identifier: Apache-2.0

/**
 * The endpoint list. {@link ottergauge.decision.endpoints.EndpointUpdater} applies its updates,
 * {@link ottergauge.decision.endpoints.DiscoveryPoller} requests them from discovery.
 */
package ottergauge.decision.endpoints;
