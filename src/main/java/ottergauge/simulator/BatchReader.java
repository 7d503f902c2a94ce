// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import static ottergauge.simulator.FieldParser.require;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads batches from a JSON stream; unknown keys are skipped, and the order of keys does not
 * matter.
 */
final class BatchReader {

    /** The messages to one engine in a batch. */
    record Part(long engine, List<SimulatorMessage> messages) {}

    /** A batch: the simulated time in microseconds and its parts. */
    record Batch(long time, List<Part> parts) {}

    private final JsonParser in;
    private final FieldParser value;
    private final MessageReader messages;

    BatchReader(JsonParser in) {
        this.in = in;
        value = new FieldParser(in);
        messages = new MessageReader(in, value);
    }

    /** Returns the next batch, or nothing at the end of the input. */
    Optional<Batch> next() throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return Optional.empty();
        }
        require(token == JsonToken.START_OBJECT, "a batch is an object");
        double timeMs = Double.NaN;
        List<Part> parts = null;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "simTimeMs" -> timeMs = value.number(0);
                case "parts" -> parts = parts();
                default -> in.skipChildren();
            }
        }
        require(!Double.isNaN(timeMs), "a batch has no simTimeMs");
        require(parts != null, "a batch has no parts");
        return Optional.of(new Batch(FieldParser.micros(timeMs), parts));
    }

    private List<Part> parts() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "parts is an array");
        List<Part> parts = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "a part is an object");
            parts.add(part());
        }
        return parts;
    }

    private Part part() throws IOException {
        long engine = -1;
        List<SimulatorMessage> inbox = List.of();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "nodeId" -> engine = value.integer(-1);
                case "inbox" -> inbox = inbox();
                default -> in.skipChildren();
            }
        }
        require(engine >= 0, "a part has no nodeId");
        return new Part(engine, inbox);
    }

    private List<SimulatorMessage> inbox() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "inbox is an array");
        List<SimulatorMessage> inbox = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "a message is an object");
            inbox.add(messages.message());
        }
        return inbox;
    }
}
