// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

/**
 * Thrown if a submission was not committed, or if it is not known whether it was committed. The
 * submission may be retried with the same id.
 */
public final class NoQuorumException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception. The message is one line that states what was missing. */
    public NoQuorumException(String message) {
        super(message);
    }
}
