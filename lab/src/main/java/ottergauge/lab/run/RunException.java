// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

/** A play that could not be played to its end; it says nothing of the rules. */
public final class RunException extends Exception {

    private static final long serialVersionUID = 1L;

    public RunException(String message) {
        super(message);
    }
}
