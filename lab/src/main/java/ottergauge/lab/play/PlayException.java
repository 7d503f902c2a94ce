// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.play;

/** A play that could not be played to its end; it says nothing of the rules. */
public final class PlayException extends Exception {

    private static final long serialVersionUID = 1L;

    public PlayException(String message) {
        super(message);
    }
}
