// SPDX-License-Identifier: Apache-2.0

/**
 * The client of control processes, for the operators' tools. Its calls block, and it is not
 * thread-safe.
 *
 * <p>{@link ottergauge.control.client.ControlClient} publishes submissions with retries and reads
 * snapshots, changes and status. It returns {@link ottergauge.control.client.PublishResult} and
 * {@link ottergauge.control.client.ProcessStatus}, and throws {@link
 * ottergauge.control.client.ControlCallException}. {@link
 * ottergauge.control.client.BoundedHttpClient} limits the duration of each HTTP call and the size
 * of its response.
 */
package ottergauge.control.client;
