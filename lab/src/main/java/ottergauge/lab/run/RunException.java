// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

/** A run that could not be completed, and therefore says nothing about the rules. */
public final class RunException extends Exception {

    private static final long serialVersionUID = 1L;

    public RunException(String message) {
        super(message);
    }
}
