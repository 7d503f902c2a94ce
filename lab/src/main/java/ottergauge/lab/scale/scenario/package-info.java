// SPDX-License-Identifier: Apache-2.0
/** What a scale test plays: read from YAML and checked whole before anything starts. */
package ottergauge.lab.scale.scenario;
