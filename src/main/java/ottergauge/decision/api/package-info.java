// SPDX-License-Identifier: Apache-2.0

/**
 * The interface of the decision engine: its settings, the events that it receives and the actions
 * that it returns.
 *
 * <p>All times are in microseconds. Instants are readings of the clock that the events use, and
 * time spans are differences between them. Request classes, zones and machine types are indices
 * into the lists of the settings; -1 stands for none.
 */
package ottergauge.decision.api;
