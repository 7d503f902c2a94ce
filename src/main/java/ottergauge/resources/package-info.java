// SPDX-License-Identifier: Apache-2.0

/**
 * State that all nodes share, as versioned resources: servers by service, routes, tenants' limits,
 * settings. Values and codecs alone: no I/O, no clock. docs/control.md describes how they are
 * distributed.
 */
package ottergauge.resources;
