// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

/**
 * Thrown if no control process responded as expected. The one-line message names the last failure.
 */
public final class ControlCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with its one-line message. */
    public ControlCallException(String message) {
        super(message);
    }
}
