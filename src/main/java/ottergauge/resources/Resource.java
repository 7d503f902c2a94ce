// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** A resource as the change with this version left it. */
public record Resource(ResourceKey key, long version, ResourceValue value) {}
