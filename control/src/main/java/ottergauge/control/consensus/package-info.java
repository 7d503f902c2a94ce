// SPDX-License-Identifier: Apache-2.0

/**
 * Turns submissions into durable changes, in the same order in each process of a group.
 *
 * <p>{@link ottergauge.control.consensus.Consensus} orders submissions; {@link
 * ottergauge.control.consensus.InMemoryConsensus} is its implementation for a single process that
 * stores nothing. {@link ottergauge.control.consensus.SharedLog} owns the log of the process and
 * guards it with a lock, since one thread applies changes and another one serves requests. After an
 * {@link ottergauge.control.consensus.NoQuorumException}, a submission may be retried with the same
 * id.
 */
package ottergauge.control.consensus;
