// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.lab.node.Signals;

/**
 * A child process of a scale test. It reads commands from standard input, one per line, and writes
 * its events to standard output as JSON lines. It exits at the end of its input.
 */
public final class ChildProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LOG_TAIL_CHARS = 2_000;
    private static final long EXIT_TIMEOUT_S = 5;

    private final String name;
    private final ProcessBuilder builder;
    private final Path log;
    private final Reaper reaper;
    private final Signals signals;
    private final Consumer<JsonNode> eventHandler;
    private Process process;

    /** {@code eventHandler} receives each event, on a reader thread of this process. */
    public ChildProcess(
            String name,
            ProcessBuilder builder,
            Path log,
            Reaper reaper,
            Signals signals,
            Consumer<JsonNode> eventHandler) {
        this.name = name;
        this.builder = builder;
        this.log = log;
        this.reaper = reaper;
        this.signals = signals;
        this.eventHandler = eventHandler;
    }

    /** Starts the process for the first time, or again after it has ended. */
    public void start() throws IOException {
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        reaper.started(process.pid());
        Thread reader = new Thread(() -> read(process), "reader of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process child) {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(child.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode event = parse(line);
                if (event != null) {
                    eventHandler.accept(event);
                }
            }
        } catch (IOException e) {
            // The process was killed.
        }
    }

    // The last line of a killed process may be incomplete.
    private static JsonNode parse(String line) {
        try {
            return JSON.readTree(line);
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends a command. A command to a process that has ended is dropped. */
    public synchronized void sendCommand(String line) {
        try {
            OutputStream input = process.getOutputStream();
            input.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            input.flush();
        } catch (IOException e) {
            // The process has ended. The caller learns this from isAlive.
        }
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Suspends the process by SIGSTOP, or continues it by SIGCONT. */
    public void setSuspended(boolean suspended) {
        signals.send(suspended ? "STOP" : "CONT", process.pid());
    }

    /** Kills the process and waits until it has ended. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
            reaper.ended(process.pid());
        }
    }

    /**
     * Closes the standard input of the process, waits for its exit, and kills it if it does not
     * exit in time.
     */
    public void end() throws InterruptedException {
        if (process == null) {
            return;
        }
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // The process has ended.
        }
        process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        kill();
    }

    /** Returns the last part of the process's log. */
    public String logTail() {
        try {
            String text = Files.readString(log);
            return text.substring(Math.max(0, text.length() - LOG_TAIL_CHARS));
        } catch (IOException e) {
            return "cannot read the log: " + e.getMessage();
        }
    }
}
