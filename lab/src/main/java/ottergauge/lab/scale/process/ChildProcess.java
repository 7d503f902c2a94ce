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
 * A process of a play that takes orders on standard input, a line each, and tells what it sees as
 * JSON lines on standard output. It ends with its input.
 */
public final class ChildProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LOG_END = 2_000;
    private static final long END_WITHIN_S = 5;

    private final String name;
    private final ProcessBuilder builder;
    private final Path log;
    private final Reaper reaper;
    private final Signals signals;
    private final Consumer<JsonNode> told;
    private Process process;

    /** {@code told} gets each line, on a thread of the process's own. */
    public ChildProcess(
            String name,
            ProcessBuilder builder,
            Path log,
            Reaper reaper,
            Signals signals,
            Consumer<JsonNode> told) {
        this.name = name;
        this.builder = builder;
        this.log = log;
        this.reaper = reaper;
        this.signals = signals;
        this.told = told;
    }

    /** Starts it, for the first time or anew. */
    public void start() throws IOException {
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        reaper.started(process.pid());
        Thread reader = new Thread(() -> read(process), "reader of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process from) {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode event = parse(line);
                if (event != null) {
                    told.accept(event);
                }
            }
        } catch (IOException e) {
            // It was killed.
        }
    }

    // The last line of one that was killed may be cut.
    private static JsonNode parse(String line) {
        try {
            return JSON.readTree(line);
        } catch (IOException e) {
            return null;
        }
    }

    /** Gives it an order; one that has ended takes none. */
    public synchronized void order(String line) {
        try {
            OutputStream orders = process.getOutputStream();
            orders.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            orders.flush();
        } catch (IOException e) {
            // It has ended, which shows elsewhere.
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

    /** Stops it, or lets it go on. */
    public void stalled(boolean stalls) {
        signals.send(stalls ? "STOP" : "CONT", process.pid());
    }

    /** Kills it and waits for its end. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
            reaper.ended(process.pid());
        }
    }

    /** Ends its input, waits for its end, and kills it if that does not come. */
    public void end() throws InterruptedException {
        if (process == null) {
            return;
        }
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // It has ended.
        }
        process.waitFor(END_WITHIN_S, TimeUnit.SECONDS);
        kill();
    }

    /** The last lines of its log. */
    public String logEnd() {
        try {
            String text = Files.readString(log);
            return text.substring(Math.max(0, text.length() - LOG_END));
        } catch (IOException e) {
            return "no log: " + e.getMessage();
        }
    }
}
