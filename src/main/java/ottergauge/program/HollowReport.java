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
 * Writes the events of hollow nodes as JSON lines, and every second a line with the process' use of
 * CPU and memory. It never blocks a node: if the writer cannot keep up, events are dropped and
 * counted.
 */
final class HollowReport {

    private static final Logger LOG = LoggerFactory.getLogger(HollowReport.class);
    private static final int MAX_QUEUED_EVENTS = 1 << 17;
    private static final long PROCESS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long POLL_TIMEOUT_MS = 100;
    private static final long MICROS = 1_000;

    private final BlockingQueue<HollowEvent> queue = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final AtomicLong lost = new AtomicLong();
    private final JsonGenerator out;

    HollowReport(OutputStream to) throws IOException {
        out = new JsonFactory().createGenerator(to);
        out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        out.setRootValueSeparator(null);
    }

    /** Queues an event to be written, or drops it if the queue is full. */
    void take(HollowEvent event) {
        if (!queue.offer(event)) {
            lost.incrementAndGet();
        }
    }

    /** Starts writing on a separate thread, which does not keep the process alive. */
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
                HollowEvent event = queue.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                if (event != null) {
                    write(event);
                }
                if (System.nanoTime() - processAt >= 0) {
                    processAt += PROCESS_PERIOD_NANOS;
                    writeProcess();
                }
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The reader of the report has ended, so that this process is not needed any more.
            LOG.error("the report cannot be written, exiting: {}", e.toString());
            System.exit(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(HollowEvent event) throws IOException {
        if (event instanceof HollowEvent.VersionEffective e) {
            begin("in-force", e.at());
            out.writeStringField("node", e.node());
            out.writeStringField("source", name(e.source()));
            out.writeNumberField("version", e.version());
            out.writeBooleanField("whole", e.complete());
            out.writeNumberField("entries", e.entries());
        } else if (event instanceof HollowEvent.PollCount e) {
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
        } else if (event instanceof HollowEvent.LoopLag e) {
            begin("late", e.at());
            out.writeNumberField("loop", e.loop());
            out.writeFieldName("counts");
            out.writeStartArray();
            for (long count : e.counts()) {
                out.writeNumber(count);
            }
            out.writeEndArray();
        } else if (event instanceof HollowEvent.ServerStatuses e) {
            begin("servers", e.at());
            out.writeStringField("node", e.node());
            out.writeNumberField("count", e.count());
            out.writeStringField("digest", e.digest());
        } else if (event instanceof HollowEvent.EffectOmitted e) {
            begin("left-out", e.at());
            out.writeStringField("node", e.node());
            out.writeStringField("effect", e.effect());
        } else if (event instanceof HollowEvent.FleetStarted e) {
            begin("started", e.at());
            out.writeNumberField("nodes", e.nodes());
        }
        end();
    }

    private void writeBounds() throws IOException {
        begin("bounds", HollowFleet.wallMicros());
        out.writeFieldName("late_ms");
        out.writeArray(
                HollowFleet.lagBoundsMs().stream().mapToInt(Integer::intValue).toArray(),
                0,
                HollowFleet.lagBoundsMs().size());
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
