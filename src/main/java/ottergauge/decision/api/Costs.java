// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The costs of load probes and connections, each as a fraction of the deployment's result, from
 * which it is subtracted.
 *
 * @param probe cost of one load probe per request
 * @param connection cost of 100 open connections per server
 */
public record Costs(double probe, double connection) {}
