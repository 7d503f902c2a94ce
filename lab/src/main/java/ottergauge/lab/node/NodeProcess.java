// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * One node of the program under test. The process can be started again after it has ended and keeps
 * its name.
 */
public final class NodeProcess {

    private static final int LOG_TAIL = 2_000;

    private final int number;
    private final String command;
    private final Path root;
    private final Path folder;
    private final Signals signals;
    private final Consumer<NodeProcess> exitListener;
    private Process process;
    private int startCount;
    private long cpuOfPreviousProcesses;

    /**
     * {@code command} is a shell command run in {@code root}. {@code folder} belongs to this node
     * and holds its configuration and logs. {@code exitListener} is called on another thread when
     * the process has ended.
     */
    public NodeProcess(
            int number,
            String command,
            Path root,
            Path folder,
            Signals signals,
            Consumer<NodeProcess> exitListener)
            throws IOException {
        this.number = number;
        this.command = command;
        this.root = root;
        this.folder = Files.createDirectories(folder);
        this.signals = signals;
        this.exitListener = exitListener;
    }

    /** Starts the process with an empty temporary folder, as the platform does. */
    // Nothing waits for the end of the process here: the exit listener is called.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void start(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        Path temporary = folder.resolve("tmp");
        delete(temporary);
        Files.createDirectories(temporary);
        startCount++;
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log().toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        process = builder.start();
        process.onExit().thenAccept(exited -> exitListener.accept(this));
    }

    private static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private Path log() {
        return folder.resolve("log-" + startCount);
    }

    /** Replaces the configuration, which the process reads on SIGHUP and at its next start. */
    public void configure(String config) throws IOException {
        Files.writeString(folder.resolve("config.json"), config);
    }

    /** Sends the process a signal by its short name; does nothing if it has ended. */
    public void signal(String name) {
        if (isAlive()) {
            signals.send(name, process.pid());
        }
    }

    public int number() {
        return number;
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    public int exitCode() {
        return process.exitValue();
    }

    public int startCount() {
        return startCount;
    }

    /** The CPU time of all processes of this node so far, in microseconds. */
    public long cpuMicros() {
        return cpuOfPreviousProcesses + (isAlive() ? cpuNow() : 0);
    }

    private long cpuNow() {
        return process.info().totalCpuDuration().map(each -> each.toNanos() / 1_000).orElse(0L);
    }

    /**
     * Kills the process, even if a signal has stopped it. {@link #cpuMicros} still includes the CPU
     * time that it has used.
     */
    public void kill() {
        if (isAlive()) {
            cpuOfPreviousProcesses += cpuNow();
            signals.send("CONT", process.pid());
            process.destroyForcibly();
        }
    }

    /** Waits until the process has ended. */
    public void await() throws InterruptedException {
        if (process != null && !process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "n"
                            + number
                            + " still runs 10 s after the laboratory began to wait for its end");
        }
    }

    /** The end of the current log. */
    public String logTail() {
        try {
            String text = Files.readString(log());
            return text.substring(Math.max(0, text.length() - LOG_TAIL));
        } catch (IOException e) {
            return "no log: " + e.getMessage();
        }
    }

    /** The lines that contain a word, from the logs of all starts. */
    public List<String> logLines(String word) throws IOException {
        List<String> found = new java.util.ArrayList<>();
        for (int i = 1; i <= startCount; i++) {
            try (Stream<String> lines = Files.lines(folder.resolve("log-" + i))) {
                lines.filter(line -> line.contains(word)).forEach(found::add);
            }
        }
        return found;
    }
}
