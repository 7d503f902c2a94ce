// SPDX-License-Identifier: Apache-2.0
/**
 * Translates a node's configuration for a deployment of another shape: {@link
 * ottergauge.migration.Migration}. It works on JSON trees and does no I/O; docs/migration.md is the
 * operators' page.
 */
package ottergauge.migration;
