// SPDX-License-Identifier: Apache-2.0

/**
 * The choice of a server: {@link ottergauge.decision.selection.ServerSelector} picks the next one
 * of the rotation that may take a request, {@link ottergauge.decision.selection.DeadlineFit} judges
 * where the request can be expected to end in time.
 */
package ottergauge.decision.selection;
