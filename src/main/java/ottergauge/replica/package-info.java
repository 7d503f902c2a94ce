// SPDX-License-Identifier: Apache-2.0

/**
 * A node's replica of the state that all nodes share. It follows the change log of a group of
 * control processes and emits what becomes effective; docs/control.md describes the calls.
 *
 * <p>{@link ottergauge.replica.Replica} is a state machine without I/O, clock or threads: its
 * caller hands it {@link ottergauge.replica.ReplicaEvent}s with the current time and carries out
 * the {@link ottergauge.replica.ReplicaEffect}s that it emits, in order. It dispatches to parts
 * that each own their state:
 *
 * <ul>
 *   <li>{@link ottergauge.replica.CallScheduler}: the outstanding call, its timeout, delays and
 *       back-offs, by {@link ottergauge.replica.PollTimeouts};
 *   <li>{@link ottergauge.replica.ControlSession}: the process that is called, fail-over and
 *       fail-back, by {@link ottergauge.replica.ControlEndpointSelector};
 *   <li>{@link ottergauge.replica.SnapshotFetch}: the snapshot that is being fetched, as a {@link
 *       ottergauge.replica.SnapshotAssembly};
 *   <li>{@link ottergauge.replica.EffectiveState}: the applied {@link
 *       ottergauge.replica.ResourceTable}, its position and its stored copies. A {@link
 *       ottergauge.replica.ChangeBatch} gathers what a page of changes makes of it.
 * </ul>
 *
 * <p>{@link ottergauge.replica.PageValidator} checks the order within a page, {@link
 * ottergauge.replica.ValidatedChange} holds each change to the check that the node gives.
 */
package ottergauge.replica;
