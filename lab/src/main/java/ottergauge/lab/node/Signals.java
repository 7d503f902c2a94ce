// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals through one long-lived shell, so that no process has to be started for each signal.
 */
public final class Signals implements AutoCloseable {

    private final Process shell;
    private final OutputStream shellInput;

    /** Starts the shell; throws {@link IOException} if it cannot be started. */
    public Signals() throws IOException {
        shell =
                new ProcessBuilder(
                                "/bin/sh", "-c", "while read s p; do kill -$s $p 2>/dev/null; done")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        shellInput = shell.getOutputStream();
    }

    /** Sends a signal by its short name, such as KILL or STOP. */
    public synchronized void send(String signal, long pid) {
        try {
            shellInput.write((signal + " " + pid + "\n").getBytes(StandardCharsets.US_ASCII));
            shellInput.flush();
        } catch (IOException e) {
            throw new IllegalStateException("cannot send a signal: the shell has ended", e);
        }
    }

    @Override
    public void close() throws IOException {
        shellInput.close();
        shell.destroy();
    }
}
