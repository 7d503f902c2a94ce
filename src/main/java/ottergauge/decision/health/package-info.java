// SPDX-License-Identifier: Apache-2.0

/**
 * Detects servers that should get fewer requests or none. {@link
 * ottergauge.decision.health.OutlierDetector} ejects servers that fail, {@link
 * ottergauge.decision.health.SilenceDetector} finds servers that no longer respond, and {@link
 * ottergauge.decision.health.SlowStartBudget} limits the requests to servers in slow start.
 */
package ottergauge.decision.health;
