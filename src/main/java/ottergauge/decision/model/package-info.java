// SPDX-License-Identifier: Apache-2.0

/**
 * The entities of the decision engine: {@link ottergauge.decision.model.Server}, {@link
 * ottergauge.decision.model.Request} and {@link ottergauge.decision.model.Attempt}.
 *
 * <p>A server consists of one state object for each part of the engine, which alone changes it: the
 * entry in the rotation, the load, the probe, the health and the slow start. {@link
 * ottergauge.decision.model.OutstandingAttempts} counts attempts as work of their servers.
 */
package ottergauge.decision.model;
