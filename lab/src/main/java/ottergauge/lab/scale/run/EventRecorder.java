// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.process.LatenessSampler;

/** Notes what the processes of a play tell, each in its own words. */
final class EventRecorder {

    private static final long MICROS_A_MS = 1_000;

    private final Observations seen;
    private final Consumer<String> ready;
    private final Map<String, String> callers = new HashMap<>();

    /** The index of the first of a hollow process's counts of lateness that is over what may be. */
    private volatile int firstLate;

    /** {@code ready} is told which process has said that it is. */
    EventRecorder(Observations seen, Consumer<String> ready) {
        this.seen = seen;
        this.ready = ready;
    }

    /** What calls discovery from this address is this node. */
    void caller(String address, String node) {
        callers.put(address, node);
    }

    /** Takes a line of a process. */
    void take(String process, JsonNode line) {
        long at = line.path("at").asLong();
        switch (line.path("event").asText()) {
            case "ready", "started" -> ready.accept(process);
            case "changed" -> seen.changed(line.get("version").asLong(), at);
            case "in-force" ->
                    seen.inForce(line.get("node").asText(), line.get("version").asLong(), at);
            case "asks" -> asks(line, at);
            case "traffic" ->
                    seen.traffic(
                            line.get("node").asText(),
                            line.get("in").asLong(),
                            line.get("out").asLong(),
                            at);
            case "servers" -> seen.digest(line.get("node").asText(), line.get("digest").asText());
            case "calls" -> calls(line, at);
            case "bytes" ->
                    seen.wholeLists(
                            line.get("whole_lists").asLong(), line.get("whole_bytes").asLong(), at);
            case "link-bytes" ->
                    seen.linkBytes(
                            line.get("link").asText(),
                            line.get("there").asLong(),
                            line.get("back").asLong(),
                            at);
            case "lateness" ->
                    seen.lateness(
                            process, line.get("looks").asLong(), line.get("late").asLong(), at);
            case "bounds" -> bounds(line);
            case "late" -> late(process, line, at);
            case "process" -> {
                seen.heap(process, line.get("heap").asLong(), at);
                seen.lost(process, line.get("lost").asLong());
            }
            case "left-out" -> seen.leftOut(line.get("effect").asText());
            default -> {}
        }
    }

    private void asks(JsonNode line, long at) {
        String node = callers.get(line.get("caller").asText());
        if (node != null) {
            seen.inForce(node, line.get("version").asLong(), at);
        }
    }

    // Hollow nodes tell one kind at a time, discovery all that it has counted.
    private void calls(JsonNode line, long at) {
        if (line.has("kind")) {
            seen.calls(
                    line.get("source").asText() + " " + line.get("kind").asText(),
                    line.get("count").asLong(),
                    at);
        } else {
            line.properties()
                    .forEach(
                            each -> {
                                if (!"event".equals(each.getKey()) && !"at".equals(each.getKey())) {
                                    seen.callsAtDiscovery(
                                            each.getKey(), each.getValue().asLong(), at);
                                }
                            });
        }
    }

    private void bounds(JsonNode line) {
        int index = 0;
        while (line.get("late_ms").get(index).asLong() * MICROS_A_MS < LatenessSampler.LATE) {
            index++;
        }
        firstLate = index + 1;
    }

    private void late(String process, JsonNode line, long at) {
        long looks = 0;
        long late = 0;
        for (int index = 0; index < line.get("counts").size(); index++) {
            long count = line.get("counts").get(index).asLong();
            looks += count;
            late += index >= firstLate ? count : 0;
        }
        seen.lateness(process, looks, late, at);
    }
}
