// SPDX-License-Identifier: Apache-2.0

/**
 * The versioned resources that all nodes share: services, servers, routes, tenants' limits and
 * settings, with their JSON and their validation. Values only: no I/O, no clock, no state of its
 * own; control processes and nodes both use it. docs/control.md describes how resources are
 * distributed.
 *
 * <ul>
 *   <li>{@link ottergauge.resources.Resource}: a {@link ottergauge.resources.ResourceValue} by its
 *       {@link ottergauge.resources.ResourceKey}, at a version of the log;
 *   <li>{@link ottergauge.resources.Change}: one accepted entry of the log; a {@link
 *       ottergauge.resources.Submission} asks for one;
 *   <li>{@link ottergauge.resources.ChangePage}, {@link ottergauge.resources.SnapshotPage} and
 *       {@link ottergauge.resources.VersionUnavailable}: the responses of a control process, for a
 *       {@link ottergauge.resources.Subscription};
 *   <li>{@link ottergauge.resources.ResourceCodec}: the JSON of all messages, the one place that
 *       knows their field names ({@link ottergauge.resources.EntryCodec} and {@link
 *       ottergauge.resources.ValueCodec} within them);
 *   <li>{@link ottergauge.resources.ResourceValidator}: the errors of a resource, change or
 *       submission, as {@link ottergauge.resources.FieldError}s.
 * </ul>
 */
package ottergauge.resources;
