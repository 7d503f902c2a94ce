// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Input violates the protocol or a file format; the message describes how. */
public class ProtocolException extends Exception {

    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message);
    }
}
