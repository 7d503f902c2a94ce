// SPDX-License-Identifier: Apache-2.0

/**
 * A node's replica of the state that all nodes share. It follows the change log of a group of
 * control processes and emits the changes that become effective. docs/control.md describes the
 * calls.
 *
 * <p>{@link ottergauge.replica.Replica} is a state machine without I/O, clock or threads: its
 * caller passes {@link ottergauge.replica.ReplicaEvent}s and the current time to it, and carries
 * out the {@link ottergauge.replica.ReplicaEffect}s that it emits, in order. It delegates to
 * components that each own their state:
 *
 * <ul>
 *   <li>{@link ottergauge.replica.CallScheduler}: the outstanding call, its timeout, delays and
 *       back-offs, with the times of {@link ottergauge.replica.PollTimeouts};
 *   <li>{@link ottergauge.replica.ControlSession}: the process to call, fail-over and fail-back,
 *       with the order of {@link ottergauge.replica.ControlEndpointSelector};
 *   <li>{@link ottergauge.replica.SnapshotFetch}: the snapshot that is being fetched, as a {@link
 *       ottergauge.replica.SnapshotAssembly};
 *   <li>{@link ottergauge.replica.EffectiveState}: the applied {@link
 *       ottergauge.replica.ResourceTable}, its position and its stored copies. A {@link
 *       ottergauge.replica.ChangeBatch} collects the modifications of one page of changes.
 * </ul>
 *
 * <p>{@link ottergauge.replica.PageValidator} checks the order within a page, {@link
 * ottergauge.replica.ValidatedChange} applies the node's own check to each change.
 */
package ottergauge.replica;
