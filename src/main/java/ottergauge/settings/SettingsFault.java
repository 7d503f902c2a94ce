// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

/** What is wrong with settings: the key, the value found there, and the form that is allowed. */
public record SettingsFault(String key, String value, String allowed) {

    /** One line for a person. */
    @Override
    public String toString() {
        return key + " is " + allowed + ", not " + value;
    }
}
