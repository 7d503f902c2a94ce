// SPDX-License-Identifier: Apache-2.0

/**
 * The control process orders changes of the state that all nodes share, and distributes them to the
 * nodes. {@code log} is the state machine, {@code consensus} orders submissions, {@code server} is
 * the HTTP API and {@code config} is its configuration. {@code client}, {@code discovery} and
 * {@code program} are the operators' tools. docs/control.md describes the interfaces.
 */
package ottergauge.control;
