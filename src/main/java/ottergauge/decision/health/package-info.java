// SPDX-License-Identifier: Apache-2.0

/**
 * Which servers are to be spared: {@link ottergauge.decision.health.OutlierDetector} ejects those
 * that fail, {@link ottergauge.decision.health.SilenceDetector} finds those that answer no more,
 * and {@link ottergauge.decision.health.SlowStartBudget} limits what is sent to those that warm up.
 */
package ottergauge.decision.health;
