// SPDX-License-Identifier: Apache-2.0

/**
 * The replicated state machine of the control process: validates and orders submissions, holds the
 * state that they make, and serves subscribers from it. Free of I/O, clock, threads and randomness,
 * so that the same submissions in the same order give the same state in each process.
 *
 * <p>A tour:
 *
 * <ul>
 *   <li>{@link ottergauge.control.log.ChangeLog} owns all state: it applies a submission, answers
 *       polls for changes and pages of the state, and is captured and restored. It is not
 *       thread-safe; {@code consensus.SharedLog} guards it.
 *   <li>{@code SubmissionValidator} decides whether a submission fits the state, within {@link
 *       ottergauge.control.log.StateLimits}; {@link ottergauge.control.log.SubmissionOutcome} is
 *       the result, which {@code IdempotencyCache} keeps for retries.
 *   <li>{@code ResourceState} holds the newest value of each resource, {@code RecentChanges} the
 *       changes that {@link ottergauge.control.log.LogRetention} allows.
 *   <li>{@link ottergauge.control.log.PollResponse}, {@link ottergauge.control.log.EncodedChanges}
 *       and {@link ottergauge.control.log.EncodedSnapshot} are what subscribers receive; {@code
 *       JsonPageBuilder} assembles their JSON from values that were encoded once.
 *   <li>{@link ottergauge.control.log.LogSnapshot} is the whole log at one instant, with the stored
 *       form that {@code LogSnapshotEncoder} writes and {@code LogSnapshotDecoder} reads.
 * </ul>
 */
package ottergauge.control.log;
