// SPDX-License-Identifier: Apache-2.0

/**
 * The versioned resources that all nodes share: services, servers, routes, tenants' limits and
 * settings, with their JSON and their validation. The package has no I/O, clock or mutable state.
 * Control processes and nodes both use it. docs/control.md describes how resources are distributed.
 *
 * <ul>
 *   <li>{@link ottergauge.resources.Resource}: a {@link ottergauge.resources.ResourceValue} with
 *       its {@link ottergauge.resources.ResourceKey}, at a version of the log;
 *   <li>{@link ottergauge.resources.Change}: one accepted entry of the log, requested by a {@link
 *       ottergauge.resources.Submission};
 *   <li>{@link ottergauge.resources.ChangePage}, {@link ottergauge.resources.SnapshotPage} and
 *       {@link ottergauge.resources.VersionUnavailable}: the responses of a control process, for a
 *       {@link ottergauge.resources.Subscription};
 *   <li>{@link ottergauge.resources.ResourceCodec}: the JSON of all messages. Only this class,
 *       {@link ottergauge.resources.EntryCodec} and {@link ottergauge.resources.ValueCodec} know
 *       the field names;
 *   <li>{@link ottergauge.resources.ResourceValidator}: the errors of a resource, change or
 *       submission, as {@link ottergauge.resources.FieldError}s.
 * </ul>
 */
package ottergauge.resources;
