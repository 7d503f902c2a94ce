// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

/** An invalid scenario; the message names file, line, key and what is allowed. */
public final class ScenarioException extends Exception {

    private static final long serialVersionUID = 1L;

    public ScenarioException(String message) {
        super(message);
    }
}
