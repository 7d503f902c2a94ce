// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * What is subtracted from the deployment's result for each unit of a resource.
 *
 * @param probe cost of one probe for each request
 * @param connection cost of 100 open connections for each server
 */
public record Costs(double probe, double connection) {}
