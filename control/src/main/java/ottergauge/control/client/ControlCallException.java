// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

/** No control process responded as expected; the message names the last failure in one line. */
public final class ControlCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with its one-line message. */
    public ControlCallException(String message) {
        super(message);
    }
}
