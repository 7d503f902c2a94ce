// SPDX-License-Identifier: Apache-2.0

/**
 * The interface of the decision engine: its settings, the events that it takes and the actions that
 * it asks for.
 *
 * <p>All times are microseconds: instants on the clock of the events, spans as differences of it.
 * Classes, zones and machine types are indices into the lists of the settings; -1 stands for none.
 */
package ottergauge.decision.api;
