// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

/** The input violates the simulator's format or refers to something that it has not introduced. */
public final class SimulatorFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SimulatorFormatException(String message) {
        super(message);
    }
}
