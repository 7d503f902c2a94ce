// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

/** A submission was not committed, or is not known to be; it may be retried under the same id. */
public final class NoQuorumException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception; the message is one line that says what was missing. */
    public NoQuorumException(String message) {
        super(message);
    }
}
