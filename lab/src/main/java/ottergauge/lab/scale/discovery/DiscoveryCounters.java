// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import ottergauge.lab.scale.process.Reporter;

/**
 * Counts calls in intervals of 10 ms, and responses and bytes in intervals of 100 ms, and reports
 * them as JSON lines.
 */
final class DiscoveryCounters {

    /** Receives the counts as events. */
    @FunctionalInterface
    interface Sink {
        void report(String event, long at, ObjectNode fields);
    }

    /**
     * How a call was handled: it opened a watch or fetched the list, it continued a watch, or it
     * was rejected.
     */
    enum Kind {
        OPENS,
        GOES_ON,
        REFUSED
    }

    private static final long CALL_INTERVAL = 10_000;
    private static final long BYTE_INTERVAL = 100_000;

    // The source address that the operating system chooses for a connection within this machine
    // unless the caller binds another one.
    private static final String DEFAULT_SOURCE = "127.0.0.1";

    private final Sink sink;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<Kind, Long> calls = new EnumMap<>(Kind.class);
    private long callIntervalStart;
    private long byteIntervalStart;
    private long bytesIn;
    private long bytesOut;
    private long fullLists;
    private long fullListBytes;

    DiscoveryCounters(Sink sink) {
        this.sink = sink;
    }

    void countCall(Kind kind) {
        long now = Reporter.wallClockMicros();
        if (now - callIntervalStart >= CALL_INTERVAL) {
            reportCalls();
            callIntervalStart = now - now % CALL_INTERVAL;
        }
        calls.merge(kind, 1L, Long::sum);
    }

    /**
     * Records that a caller has this version of the list. A version is reported when it differs
     * from the caller's previous one, and only for callers that connect from a source address of
     * their own.
     */
    void recordVersion(String caller, long version) {
        if (!DEFAULT_SOURCE.equals(caller)
                && !Long.valueOf(version).equals(versions.put(caller, version))) {
            sink.report(
                    "asks",
                    Reporter.wallClockMicros(),
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("caller", caller)
                            .put("version", version));
        }
    }

    void countBytes(long in, long out) {
        startByteIntervalIfDue();
        bytesIn += in;
        bytesOut += out;
    }

    void countResponse(boolean full, int length) {
        if (full) {
            startByteIntervalIfDue();
            fullLists++;
            fullListBytes += length;
        }
    }

    private void startByteIntervalIfDue() {
        long now = Reporter.wallClockMicros();
        if (now - byteIntervalStart >= BYTE_INTERVAL) {
            reportBytes();
            byteIntervalStart = now - now % BYTE_INTERVAL;
        }
    }

    /** Reports all counts that have not been reported yet. */
    void report() {
        reportCalls();
        reportBytes();
    }

    private void reportCalls() {
        if (!calls.isEmpty()) {
            ObjectNode fields = JsonNodeFactory.instance.objectNode();
            calls.forEach((kind, count) -> fields.put(kind.name().toLowerCase(Locale.ROOT), count));
            sink.report("calls", callIntervalStart, fields);
            calls.clear();
        }
    }

    private void reportBytes() {
        if (bytesIn + bytesOut + fullLists > 0) {
            sink.report(
                    "bytes",
                    byteIntervalStart,
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("in", bytesIn)
                            .put("out", bytesOut)
                            .put("whole_lists", fullLists)
                            .put("whole_bytes", fullListBytes));
            bytesIn = 0;
            bytesOut = 0;
            fullLists = 0;
            fullListBytes = 0;
        }
    }
}
