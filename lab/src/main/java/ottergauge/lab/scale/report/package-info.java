// SPDX-License-Identifier: Apache-2.0
/** The report of a scale test, as text and as JSON. */
package ottergauge.lab.scale.report;
