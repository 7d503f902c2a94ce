// SPDX-License-Identifier: Apache-2.0

/**
 * The selection of a server for a request. {@link ottergauge.decision.selection.ServerSelector}
 * selects the next server of the weighted round-robin that may get the request. {@link
 * ottergauge.decision.selection.DeadlineFit} estimates which servers can complete it in time.
 */
package ottergauge.decision.selection;
