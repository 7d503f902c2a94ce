// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ottergauge.lab.scale.process.LatenessSampler;
import ottergauge.lab.scale.statistics.Observations;

/**
 * Records the events that the processes of a scale test report; each kind of process has its own
 * events.
 */
final class EventRecorder {

    private static final long MICROS_PER_MS = 1_000;

    private final Observations observations;
    private final Consumer<String> ready;
    private final Map<String, String> callers = new HashMap<>();

    /**
     * The index of the first bucket whose values all exceed the lateness limit. A hollow process
     * counts its lateness in buckets.
     */
    private volatile int firstLateIndex;

    /** {@code ready} receives the name of each process that reports that it is ready. */
    EventRecorder(Observations observations, Consumer<String> ready) {
        this.observations = observations;
        this.ready = ready;
    }

    /** Records which node calls discovery from this address. */
    void addCaller(String address, String node) {
        callers.put(address, node);
    }

    /** Records an event of a process. */
    void recordEvent(String process, JsonNode line) {
        long at = line.path("at").asLong();
        switch (line.path("event").asText()) {
            case "ready", "started" -> ready.accept(process);
            case "changed" -> observations.recordChange(line.get("version").asLong(), at);
            case "in-force" ->
                    observations.recordVersion(
                            line.get("node").asText(), line.get("version").asLong(), at);
            case "asks" -> recordVersion(line, at);
            case "traffic" ->
                    observations.recordTraffic(
                            line.get("node").asText(),
                            line.get("in").asLong(),
                            line.get("out").asLong(),
                            at);
            case "servers" ->
                    observations.recordDigest(
                            line.get("node").asText(), line.get("digest").asText());
            case "calls" -> recordCalls(line, at);
            case "bytes" ->
                    observations.recordFullLists(
                            line.get("whole_lists").asLong(), line.get("whole_bytes").asLong(), at);
            case "link-bytes" ->
                    observations.recordLinkBytes(
                            line.get("link").asText(),
                            line.get("there").asLong(),
                            line.get("back").asLong(),
                            at);
            case "lateness" ->
                    observations.recordLateness(
                            process, line.get("looks").asLong(), line.get("late").asLong(), at);
            case "bounds" -> setLatenessBounds(line);
            case "late" -> recordLateness(process, line, at);
            case "process" -> {
                observations.recordHeap(process, line.get("heap").asLong(), at);
                observations.recordLostLines(process, line.get("lost").asLong());
            }
            case "left-out" -> observations.recordOmittedEffect(line.get("effect").asText());
            default -> {}
        }
    }

    private void recordVersion(JsonNode line, long at) {
        String node = callers.get(line.get("caller").asText());
        if (node != null) {
            observations.recordVersion(node, line.get("version").asLong(), at);
        }
    }

    // A hollow process reports one kind of calls per line; discovery reports all kinds in one line.
    private void recordCalls(JsonNode line, long at) {
        if (line.has("kind")) {
            observations.recordCalls(
                    line.get("source").asText() + " " + line.get("kind").asText(),
                    line.get("count").asLong(),
                    at);
        } else {
            line.properties()
                    .forEach(
                            each -> {
                                if (!"event".equals(each.getKey()) && !"at".equals(each.getKey())) {
                                    observations.recordDiscoveryCalls(
                                            each.getKey(), each.getValue().asLong(), at);
                                }
                            });
        }
    }

    private void setLatenessBounds(JsonNode line) {
        int index = 0;
        while (line.get("late_ms").get(index).asLong() * MICROS_PER_MS
                < LatenessSampler.LATE_THRESHOLD) {
            index++;
        }
        firstLateIndex = index + 1;
    }

    private void recordLateness(String process, JsonNode line, long at) {
        long total = 0;
        long lateCount = 0;
        for (int index = 0; index < line.get("counts").size(); index++) {
            long count = line.get("counts").get(index).asLong();
            total += count;
            lateCount += index >= firstLateIndex ? count : 0;
        }
        observations.recordLateness(process, total, lateCount, at);
    }
}
