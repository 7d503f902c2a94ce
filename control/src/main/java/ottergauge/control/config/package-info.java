// SPDX-License-Identifier: Apache-2.0

/**
 * The configuration file of a control process. {@link
 * ottergauge.control.config.ControlProcessConfig} is the validated configuration, {@code
 * ConfigObjectReader} reads and validates the keys of a JSON object, and {@link
 * ottergauge.control.config.ConfigException} contains all errors.
 */
package ottergauge.control.config;
