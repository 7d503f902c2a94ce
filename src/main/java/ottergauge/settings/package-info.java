// SPDX-License-Identifier: Apache-2.0

/**
 * A deployment's settings: {@link ottergauge.settings.JsonTree} reads and writes JSON as maps and
 * lists, {@link ottergauge.settings.JsonObject} gives typed access to it, and {@link
 * ottergauge.settings.SettingsReader} maps the settings' keys to the decision module's types and
 * reports an invalid setting as a {@link ottergauge.settings.SettingsFault}.
 */
package ottergauge.settings;
