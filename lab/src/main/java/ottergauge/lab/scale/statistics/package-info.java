// SPDX-License-Identifier: Apache-2.0
/**
 * The observations of a scale test and the statistics that are computed from them. This package
 * does no I/O.
 */
package ottergauge.lab.scale.statistics;
