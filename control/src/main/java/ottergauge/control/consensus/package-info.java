// SPDX-License-Identifier: Apache-2.0

/**
 * How a submission becomes a durable change, in the same order at each process of a group.
 *
 * <p>A tour: {@link ottergauge.control.consensus.Consensus} orders submissions, {@link
 * ottergauge.control.consensus.InMemoryConsensus} for a single process that stores nothing; {@link
 * ottergauge.control.consensus.SharedLog} owns the process' log and guards it between the thread
 * that applies changes and the one that serves requests; {@link
 * ottergauge.control.consensus.NoQuorumException} is the failure after which a submission may be
 * retried under the same id.
 */
package ottergauge.control.consensus;
