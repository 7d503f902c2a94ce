// SPDX-License-Identifier: Apache-2.0

/**
 * The client of control processes, for the operators' tools. Blocking; not thread-safe.
 *
 * <p>A tour: {@link ottergauge.control.client.ControlClient} publishes submissions with retries and
 * reads snapshots, changes and status; {@link ottergauge.control.client.PublishResult} and {@link
 * ottergauge.control.client.ProcessStatus} are what it returns, {@link
 * ottergauge.control.client.ControlCallException} what it throws. {@link
 * ottergauge.control.client.BoundedHttpClient} bounds the time and size of each HTTP call.
 */
package ottergauge.control.client;
