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
 * Tells what a process of the rig sees, as JSON lines on standard output, and each second how late
 * its loop came round. A thread of its own writes: one that reads slowly never holds up the loop.
 */
public final class Reporter {

    private static final long TELL_EVERY = 1_000_000;
    private static final int MOST_WAITING = 1 << 16;
    private static final long MICROS = 1_000;

    private final BlockingQueue<String> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
    private final PrintStream out;

    /** Begins to write what it is told to. */
    public Reporter(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::write, "reporter");
        writer.setDaemon(true);
        writer.start();
    }

    /** The wall clock, in microseconds. */
    public static long wallMicros() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toMicros(now.getEpochSecond()) + now.getNano() / MICROS;
    }

    private void write() {
        try {
            while (true) {
                String line = waiting.take();
                byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                if (waiting.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells an event. */
    public void tell(String event, long at, ObjectNode fields) {
        ObjectNode line = JsonNodeFactory.instance.objectNode().put("event", event).put("at", at);
        line.setAll(fields);
        if (!waiting.offer(line.toString())) {
            throw new IllegalStateException("nobody reads what this process tells");
        }
    }

    /**
     * Watches how late a loop comes round, and tells it; {@code beside} runs before that is told.
     */
    public void watch(Loop loop, Runnable beside) {
        tellLateness(loop, LatenessSampler.begin(loop), beside);
    }

    private void tellLateness(Loop loop, LatenessSampler looks, Runnable beside) {
        loop.after(
                TELL_EVERY,
                () -> {
                    beside.run();
                    LatenessSampler.Lateness lateness = looks.take();
                    tell(
                            "lateness",
                            wallMicros(),
                            JsonNodeFactory.instance
                                    .objectNode()
                                    .put("looks", lateness.looks())
                                    .put("late", lateness.late())
                                    .put("most_us", lateness.most()));
                    tellLateness(loop, looks, beside);
                });
    }
}
