// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Kills what is left of a play when the rig is gone, however it ended: a shell that is told of each
 * process and waits for the end of its input, which comes with the end of the rig.
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

    /** Starts the shell that kills registered processes when this one has gone. */
    public Reaper() throws IOException {
        // A group of its own: what ends the rig's group from a terminal does not end this.
        shell =
                new ProcessBuilder("setsid", "/bin/sh", "-c", SCRIPT)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        entries = shell.getOutputStream();
    }

    /** Notes a process that has been started. */
    public void started(long pid) {
        write("+ " + pid);
    }

    /** Notes a process that has ended: its number may soon be another's. */
    public void ended(long pid) {
        write("- " + pid);
    }

    private synchronized void write(String entry) {
        try {
            entries.write((entry + "\n").getBytes(StandardCharsets.US_ASCII));
            entries.flush();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "nothing would kill the processes of a rig that is killed", e);
        }
    }

    /** Has it kill what has not ended yet. */
    @Override
    public void close() throws IOException {
        entries.close();
    }
}
