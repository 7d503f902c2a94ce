// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.transport.HollowEvent;
import ottergauge.transport.HollowFleet;

/**
 * Writes what hollow nodes tell of themselves as JSON, a line for each event, and each second a
 * line with what the process uses. It never holds up a node: lines that the writer can't keep up
 * with are lost, and the number of those is told.
 */
final class HollowReport {

    private static final Logger LOG = LoggerFactory.getLogger(HollowReport.class);
    private static final int MOST_WAITING = 1 << 17;
    private static final long PROCESS_EVERY = TimeUnit.SECONDS.toNanos(1);
    private static final long LOOK_EVERY_MS = 100;
    private static final long MICROS = 1_000;

    private final BlockingQueue<HollowEvent> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong lost = new AtomicLong();
    private final JsonGenerator out;

    HollowReport(OutputStream to) throws IOException {
        out = new JsonFactory().createGenerator(to);
        out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        out.setRootValueSeparator(null);
    }

    /** Takes an event to be written. */
    void take(HollowEvent event) {
        if (!waiting.offer(event)) {
            lost.incrementAndGet();
        }
    }

    /** Begins to write, on a thread of its own that does not keep the process alive. */
    void begin() {
        Thread writer = new Thread(this::write, "report");
        writer.setDaemon(true);
        writer.start();
    }

    private void write() {
        try {
            writeBounds();
            long processAt = System.nanoTime();
            while (true) {
                HollowEvent event = waiting.poll(LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
                if (event != null) {
                    write(event);
                }
                if (System.nanoTime() - processAt >= 0) {
                    processAt += PROCESS_EVERY;
                    writeProcess();
                }
                if (waiting.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            // Whoever reads it has gone, and with it the reason for this process.
            LOG.error("the report can't be written any more: {}", e.toString());
            System.exit(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(HollowEvent event) throws IOException {
        if (event instanceof HollowEvent.InForce e) {
            begin("in-force", e.at());
            out.writeStringField("node", e.node());
            out.writeStringField("source", name(e.source()));
            out.writeNumberField("version", e.version());
            out.writeBooleanField("whole", e.whole());
            out.writeNumberField("entries", e.entries());
        } else if (event instanceof HollowEvent.Calls e) {
            begin("calls", e.at());
            out.writeStringField("source", name(e.source()));
            out.writeStringField("kind", name(e.kind()));
            out.writeNumberField("count", e.count());
        } else if (event instanceof HollowEvent.Traffic e) {
            begin("traffic", e.at());
            out.writeStringField("node", e.node());
            out.writeStringField("source", name(e.source()));
            out.writeNumberField("in", e.bytesIn());
            out.writeNumberField("out", e.bytesOut());
        } else if (event instanceof HollowEvent.Late e) {
            begin("late", e.at());
            out.writeNumberField("loop", e.loop());
            out.writeFieldName("counts");
            out.writeArray(e.counts(), 0, e.counts().length);
        } else if (event instanceof HollowEvent.Servers e) {
            begin("servers", e.at());
            out.writeStringField("node", e.node());
            out.writeNumberField("count", e.count());
            out.writeStringField("digest", e.digest());
        } else if (event instanceof HollowEvent.LeftOut e) {
            begin("left-out", e.at());
            out.writeStringField("node", e.node());
            out.writeStringField("effect", e.effect());
        } else if (event instanceof HollowEvent.Started e) {
            begin("started", e.at());
            out.writeNumberField("nodes", e.nodes());
        }
        end();
    }

    private void writeBounds() throws IOException {
        begin("bounds", HollowFleet.wallMicros());
        out.writeFieldName("late_ms");
        out.writeArray(
                HollowFleet.latenessBounds().stream().mapToInt(Integer::intValue).toArray(),
                0,
                HollowFleet.latenessBounds().size());
        end();
    }

    private void writeProcess() throws IOException {
        begin("process", HollowFleet.wallMicros());
        if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system) {
            out.writeNumberField("cpu_us", system.getProcessCpuTime() / MICROS);
        }
        MemoryUsage heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
        out.writeNumberField("heap", heap.getUsed());
        out.writeNumberField("heap_committed", heap.getCommitted());
        out.writeNumberField(
                "gc_ms",
                ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum());
        out.writeNumberField("lost", lost.get());
        end();
    }

    private void begin(String event, long at) throws IOException {
        out.writeStartObject();
        out.writeStringField("event", event);
        out.writeNumberField("at", at);
    }

    private void end() throws IOException {
        out.writeEndObject();
        out.writeRaw('\n');
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
