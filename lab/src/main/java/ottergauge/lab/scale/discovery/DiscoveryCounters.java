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
 * Counts calls in spans of 10 ms, and answers and bytes in spans of 100 ms, and tells them as JSON
 * lines.
 */
final class DiscoveryCounters {

    /** Takes what is counted. */
    @FunctionalInterface
    interface Sink {
        void tell(String event, long at, ObjectNode fields);
    }

    /**
     * What became of a call: it opened a watch or took the list, went on with a watch, was turned
     * away.
     */
    enum Kind {
        OPENS,
        GOES_ON,
        REFUSED
    }

    private static final long CALLS_SPAN = 10_000;
    private static final long BYTES_SPAN = 100_000;

    // Where the system lets a connection within this machine come from, unless it is told
    // otherwise.
    private static final String ANYWHERE = "127.0.0.1";

    private final Sink sink;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<Kind, Long> calls = new EnumMap<>(Kind.class);
    private long callsAt;
    private long bytesAt;
    private long bytesIn;
    private long bytesOut;
    private long wholeLists;
    private long wholeBytes;

    DiscoveryCounters(Sink sink) {
        this.sink = sink;
    }

    void call(Kind kind) {
        long now = Reporter.wallMicros();
        if (now - callsAt >= CALLS_SPAN) {
            tellCalls();
            callsAt = now - now % CALLS_SPAN;
        }
        calls.merge(kind, 1L, Long::sum);
    }

    /**
     * A caller has this version: told of those that connect from an address of their own, when it
     * moves.
     */
    void asks(String caller, long version) {
        if (!ANYWHERE.equals(caller)
                && !Long.valueOf(version).equals(versions.put(caller, version))) {
            sink.tell(
                    "asks",
                    Reporter.wallMicros(),
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("caller", caller)
                            .put("version", version));
        }
    }

    void bytes(long in, long out) {
        moveOn();
        bytesIn += in;
        bytesOut += out;
    }

    void answer(boolean whole, int length) {
        if (whole) {
            moveOn();
            wholeLists++;
            wholeBytes += length;
        }
    }

    private void moveOn() {
        long now = Reporter.wallMicros();
        if (now - bytesAt >= BYTES_SPAN) {
            tellBytes();
            bytesAt = now - now % BYTES_SPAN;
        }
    }

    /** Tells what has been counted and not told yet. */
    void tell() {
        tellCalls();
        tellBytes();
    }

    private void tellCalls() {
        if (!calls.isEmpty()) {
            ObjectNode fields = JsonNodeFactory.instance.objectNode();
            calls.forEach((kind, count) -> fields.put(kind.name().toLowerCase(Locale.ROOT), count));
            sink.tell("calls", callsAt, fields);
            calls.clear();
        }
    }

    private void tellBytes() {
        if (bytesIn + bytesOut + wholeLists > 0) {
            sink.tell(
                    "bytes",
                    bytesAt,
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("in", bytesIn)
                            .put("out", bytesOut)
                            .put("whole_lists", wholeLists)
                            .put("whole_bytes", wholeBytes));
            bytesIn = 0;
            bytesOut = 0;
            wholeLists = 0;
            wholeBytes = 0;
        }
    }
}
