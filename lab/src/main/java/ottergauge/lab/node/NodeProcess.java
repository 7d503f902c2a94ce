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

/** One node of the program under test: a process under a name, started again after its end. */
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
     * {@code command} is a shell line run from {@code root}; {@code folder} is the node's own, with
     * its configuration and logs; {@code exitListener} is told, on a thread of its own, that the
     * process has ended.
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

    /** Starts it; the folder for files of its own is empty then, as the platform has it. */
    // Nothing waits for the end of the process here: the consumer is told of it.
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

    /** Replaces its configuration, which it reads on SIGHUP and at its next start. */
    public void configure(String config) throws IOException {
        Files.writeString(folder.resolve("config.json"), config);
    }

    /** Sends the process a signal by its short name; nothing if it has ended. */
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

    /** The CPU that all of its processes have used, in microseconds. */
    public long cpuMicros() {
        return cpuOfPreviousProcesses + (isAlive() ? cpuNow() : 0);
    }

    private long cpuNow() {
        return process.info().totalCpuDuration().map(each -> each.toNanos() / 1_000).orElse(0L);
    }

    /** Kills it, whatever it is doing; its CPU so far counts on. */
    public void kill() {
        if (isAlive()) {
            cpuOfPreviousProcesses += cpuNow();
            signals.send("CONT", process.pid());
            process.destroyForcibly();
        }
    }

    /** Waits for its end. */
    public void await() throws InterruptedException {
        if (process != null && !process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("n" + number + " cannot be ended");
        }
    }

    /** The last lines of its log. */
    public String logTail() {
        try {
            String text = Files.readString(log());
            return text.substring(Math.max(0, text.length() - LOG_TAIL));
        } catch (IOException e) {
            return "no log: " + e.getMessage();
        }
    }

    /** The lines of all of its logs that a word is in. */
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
