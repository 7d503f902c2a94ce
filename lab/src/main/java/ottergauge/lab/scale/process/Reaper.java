// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Kills the remaining child processes of a scale test when the laboratory has ended for any reason.
 * It is a shell that reads the ids of started and ended processes and waits for the end of its
 * input, which comes when the laboratory ends.
 */
public final class Reaper implements AutoCloseable {

    // An entry is "+ pid" for a process that has been started, and "- pid" for one that has ended.
    private static final String SCRIPT =
            """
            pids=' '
            while read -r what pid; do
                case $what in
                    +) pids="$pids$pid " ;;
                    -) pids=$(printf '%s' "$pids" | sed "s/ $pid / /") ;;
                esac
            done
            for pid in $pids; do
                kill -KILL "$pid" 2>/dev/null
            done
            """;

    private final Process shell;
    private final OutputStream entries;

    /** Starts the shell that kills registered processes when the laboratory has ended. */
    public Reaper() throws IOException {
        // The shell has its own session, so a signal from a terminal to the laboratory's process
        // group does not end it.
        shell =
                new ProcessBuilder("setsid", "/bin/sh", "-c", SCRIPT)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        entries = shell.getOutputStream();
    }

    /** Registers a process that has been started. */
    public void started(long pid) {
        write("+ " + pid);
    }

    /** Removes a process that has ended, since its id may soon belong to another process. */
    public void ended(long pid) {
        write("- " + pid);
    }

    private synchronized void write(String entry) {
        try {
            entries.write((entry + "\n").getBytes(StandardCharsets.US_ASCII));
            entries.flush();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot register a process with the shell that kills left-over processes", e);
        }
    }

    /** Makes the shell kill the processes that have not ended yet. */
    @Override
    public void close() throws IOException {
        entries.close();
    }
}
