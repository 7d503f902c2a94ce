// SPDX-License-Identifier: Apache-2.0

/**
 * The entities of the decision engine: {@link ottergauge.decision.model.Server}, {@link
 * ottergauge.decision.model.Request} and {@link ottergauge.decision.model.Attempt}.
 *
 * <p>A server has one state object for each part of the engine: the entry in the weighted
 * round-robin, the load, the load probe, the health and the slow start. Only that part changes it.
 * {@link ottergauge.decision.model.OutstandingAttempts} counts the attempts that servers work on.
 */
package ottergauge.decision.model;
