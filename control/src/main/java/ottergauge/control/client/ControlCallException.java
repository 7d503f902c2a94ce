// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

/** No process could be reached or answered as expected; the message says so in one line. */
public final class ControlCallException extends Exception {

    private static final long serialVersionUID = 1L;

    public ControlCallException(String message) {
        super(message);
    }
}
