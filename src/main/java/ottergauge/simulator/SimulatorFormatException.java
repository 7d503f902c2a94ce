// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

/** The input breaks the simulator's format, or refers to something that it never introduced. */
public final class SimulatorFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SimulatorFormatException(String message) {
        super(message);
    }
}
