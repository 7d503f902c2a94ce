// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ottergauge.lab.net.Loop;

/**
 * Writes the events of a laboratory process as JSON lines to standard output, among them the
 * lateness of its loop each second. A separate thread writes, so a slow reader never blocks the
 * loop.
 */
public final class Reporter {

    private static final long REPORT_INTERVAL = 1_000_000;
    private static final int MAX_QUEUED = 1 << 16;
    private static final long NANOS_PER_MICRO = 1_000;

    private final BlockingQueue<String> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final PrintStream out;

    /** Starts the thread that writes events. */
    public Reporter(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::write, "reporter");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns the wall-clock time in microseconds. */
    public static long wallClockMicros() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toMicros(now.getEpochSecond()) + now.getNano() / NANOS_PER_MICRO;
    }

    private void write() {
        try {
            while (true) {
                String line = queue.take();
                byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Queues an event to be written. Throws {@link IllegalStateException} if the queue is full
     * because the parent process does not read standard output.
     */
    public void report(String event, long at, ObjectNode fields) {
        ObjectNode line = JsonNodeFactory.instance.objectNode().put("event", event).put("at", at);
        line.setAll(fields);
        if (!queue.offer(line.toString())) {
            throw new IllegalStateException(
                    "the output queue is full: the parent process does not read standard output");
        }
    }

    /**
     * Samples the lateness of a loop and reports it each second; {@code beforeReport} runs before
     * each report.
     */
    public void reportLateness(Loop loop, Runnable beforeReport) {
        scheduleLatenessReport(loop, LatenessSampler.start(loop), beforeReport);
    }

    private void scheduleLatenessReport(Loop loop, LatenessSampler sampler, Runnable beforeReport) {
        loop.after(
                REPORT_INTERVAL,
                () -> {
                    beforeReport.run();
                    LatenessSampler.Lateness lateness = sampler.readAndReset();
                    report(
                            "lateness",
                            wallClockMicros(),
                            JsonNodeFactory.instance
                                    .objectNode()
                                    .put("looks", lateness.samples())
                                    .put("late", lateness.late())
                                    .put("most_us", lateness.maximum()));
                    scheduleLatenessReport(loop, sampler, beforeReport);
                });
    }
}
