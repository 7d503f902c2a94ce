// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

/**
 * An invalid setting.
 *
 * @param key the setting's key
 * @param value the value found there
 * @param allowed the allowed form, as it follows "is" in the message
 */
public record SettingsFault(String key, String value, String allowed) {

    /** The error message. */
    @Override
    public String toString() {
        return key + " is " + allowed + ", not " + value;
    }
}
