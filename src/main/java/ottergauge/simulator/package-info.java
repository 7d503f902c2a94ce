// SPDX-License-Identifier: Apache-2.0
/**
 * Hosts decision engines for the operators' simulator, over standard input and output.
 *
 * <p>{@link ottergauge.simulator.SimulatorAdapter} reads a batch of messages, hands each to the
 * {@code HostedEngine} that it is for, and answers with the actions of all engines. {@code
 * BatchReader} and {@code MessageReader} read the simulator's JSON into {@code SimulatorMessage}s,
 * {@code ActionWriter} writes the actions; no other class knows the simulator's format. An engine
 * owns its state and shares none with the others. Everything runs on the caller's thread.
 */
package ottergauge.simulator;
