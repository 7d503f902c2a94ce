// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The cost of resources, which is subtracted from the deployment's result.
 *
 * @param probe cost of one load probe per request
 * @param connection cost of 100 open connections per server
 */
public record Costs(double probe, double connection) {}
