// SPDX-License-Identifier: Apache-2.0
/** Scale tests as described in YAML files, which are checked completely before anything starts. */
package ottergauge.lab.scale.scenario;
