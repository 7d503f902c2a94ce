// SPDX-License-Identifier: Apache-2.0

/**
 * The replicated state machine of the control process: validates submissions, applies them in
 * order, holds the resulting state and serves subscribers from it. The package has no I/O, clock,
 * threads or randomness, so that the same submissions in the same order lead to the same state in
 * each process.
 *
 * <p>The main classes:
 *
 * <ul>
 *   <li>{@link ottergauge.control.log.ChangeLog} owns all state. It applies submissions, responds
 *       to polls for changes, returns pages of the state, and can be captured and restored. It is
 *       not thread-safe; {@code consensus.SharedLog} guards it with a lock.
 *   <li>{@code SubmissionValidator} decides whether a submission can be applied to the state,
 *       within {@link ottergauge.control.log.StateLimits}; {@link
 *       ottergauge.control.log.SubmissionOutcome} is the result, which {@code IdempotencyCache}
 *       caches for retries.
 *   <li>{@code ResourceState} holds the newest value of each resource. {@code RecentChanges} holds
 *       the newest changes, within the limits of {@link ottergauge.control.log.LogRetention}.
 *   <li>{@link ottergauge.control.log.PollResponse}, {@link ottergauge.control.log.EncodedChanges}
 *       and {@link ottergauge.control.log.EncodedSnapshot} are the responses to subscribers; {@code
 *       JsonPageBuilder} assembles their JSON from values that were encoded once.
 *   <li>{@link ottergauge.control.log.LogSnapshot} is the content of a log at one instant. {@code
 *       LogSnapshotEncoder} writes its stored form and {@code LogSnapshotDecoder} reads it.
 * </ul>
 */
package ottergauge.control.log;
