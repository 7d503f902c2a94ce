// SPDX-License-Identifier: Apache-2.0
package ottergauge.migration;

/** A configuration or a shape cannot be translated; the message names the key. */
public final class MigrationException extends Exception {

    private static final long serialVersionUID = 1L;

    MigrationException(String message) {
        super(message);
    }
}
