// SPDX-License-Identifier: Apache-2.0
/** The report of a scale test, for people and for programs. */
package ottergauge.lab.scale.report;
