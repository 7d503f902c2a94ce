// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** Something that came breaks the protocol; the message says how. */
public class ProtocolException extends Exception {

    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message);
    }
}
