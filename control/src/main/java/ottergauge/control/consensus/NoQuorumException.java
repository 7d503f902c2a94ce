// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

/** A submission was not accepted, or is not known to be: it may be sent again under the same id. */
public final class NoQuorumException extends Exception {

    private static final long serialVersionUID = 1L;

    public NoQuorumException(String message) {
        super(message);
    }
}
