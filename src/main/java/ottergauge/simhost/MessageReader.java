// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.decision.api.LoadReport;
import ottergauge.settings.JsonTree;

/**
 * Reads batches from a JSON stream; unknown keys are skipped, and the order of keys does not
 * matter.
 */
final class MessageReader {

    /** The messages of one instance in a batch. */
    record Part(long instance, List<Message> messages) {}

    /** A batch: the clock in milliseconds and its parts. */
    record Batch(double timeMs, List<Part> parts) {}

    private static final int HEXADECIMAL = 16;

    private final JsonParser in;

    MessageReader(JsonParser in) {
        this.in = in;
    }

    /** Returns the next batch, or null at the end of the input. */
    Batch next() throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return null;
        }
        require(token == JsonToken.START_OBJECT, "a batch is an object");
        double time = Double.NaN;
        List<Part> parts = null;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "simTimeMs" -> time = number(0);
                case "parts" -> parts = parts();
                default -> in.skipChildren();
            }
        }
        require(!Double.isNaN(time), "a batch has no simTimeMs");
        require(parts != null, "a batch has no parts");
        return new Batch(time, parts);
    }

    private List<Part> parts() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "parts is an array");
        List<Part> parts = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "a part is an object");
            long instance = -1;
            List<Message> messages = List.of();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String key = in.currentName();
                in.nextToken();
                switch (key) {
                    case "nodeId" -> instance = integer(-1);
                    case "inbox" -> messages = messages();
                    default -> in.skipChildren();
                }
            }
            require(instance >= 0, "a part has no nodeId");
            parts.add(new Part(instance, messages));
        }
        return parts;
    }

    private List<Message> messages() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "inbox is an array");
        List<Message> messages = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "a message is an object");
            messages.add(message());
        }
        return messages;
    }

    private Message message() throws IOException {
        Message m = new Message();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "msg" -> m.name = text();
                case "msgId" -> m.requestId = text();
                case "qos" -> m.requestClass = text();
                case "pathKey" -> m.key = key();
                case "mode" -> m.mode = text();
                case "code" -> m.code = text();
                case "nonce" -> m.token = text();
                case "server" -> m.server = integer(-1);
                case "shot" -> m.attempt = (int) integer(-1);
                case "rosterId" -> m.listNumber = (int) integer(-1);
                case "attrs" -> m.attributes = (int) integer(0);
                case "last" -> m.over = bool();
                case "giveUpAtMs" -> m.giveUpAtMs = number(0);
                case "spentMs" -> m.elapsedMs = number(0);
                case "nonce64" -> m.seed = seed();
                case "pressure" -> m.report = report();
                case "entries" -> m.entries = entries();
                case "config" -> m.config = config();
                default -> in.skipChildren();
            }
        }
        require(m.name != null, "a message has no msg");
        return m;
    }

    private LoadReport report() throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return LoadReport.NONE;
        }
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double latencyMs = Double.NaN;
        double served = Double.NaN;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "outstanding" -> inFlight = number(Double.NaN);
                case "backlog" -> queued = number(Double.NaN);
                case "utilization" -> utilization = number(Double.NaN);
                case "recent_ms" -> latencyMs = number(Double.NaN);
                case "throughput" -> served = number(Double.NaN);
                default -> in.skipChildren();
            }
        }
        return new LoadReport(inFlight, queued, utilization, latencyMs * 1000, served);
    }

    private List<Message.Entry> entries() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "entries is an array");
        List<Message.Entry> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "an entry is an object");
            entries.add(entry());
        }
        return entries;
    }

    private Message.Entry entry() throws IOException {
        long server = -1;
        String zone = null;
        String kind = null;
        int cell = 0;
        String state = null;
        double nominal = 1;
        double since = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "server" -> server = integer(-1);
                case "dc" -> zone = text();
                case "generationHw" -> kind = text();
                case "cohort" -> cell = (int) integer(0);
                case "availability" -> state = text();
                case "nominal" -> nominal = number(1);
                case "sinceMs" -> since = number(0);
                default -> in.skipChildren();
            }
        }
        require(server >= 0, "an entry has no server");
        return new Message.Entry(server, zone, kind, cell, state, nominal, since);
    }

    private Map<String, Object> config() throws IOException {
        require(in.currentToken() == JsonToken.START_OBJECT, "config is an object");
        return JsonTree.object(in);
    }

    private String text() throws IOException {
        require(in.currentToken().isScalarValue(), in.currentName() + " is text");
        return in.currentToken() == JsonToken.VALUE_NULL ? null : in.getText();
    }

    private double number(double absent) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return absent;
        }
        require(in.currentToken().isNumeric(), in.currentName() + " is a number");
        return in.getDoubleValue();
    }

    private long integer(long absent) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return absent;
        }
        require(in.currentToken().isNumeric(), in.currentName() + " is an integer");
        return in.getLongValue();
    }

    private long key() throws IOException {
        String hex = text();
        try {
            return hex == null ? 0 : Long.parseUnsignedLong(hex, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new WireException(in.currentName() + " is up to 16 hex digits");
        }
    }

    /** Seeds may lie over the signed range: the low 64 bits count. */
    private long seed() throws IOException {
        require(in.currentToken() == JsonToken.VALUE_NUMBER_INT, "nonce64 is an integer");
        return in.getBigIntegerValue().longValue();
    }

    private boolean bool() throws IOException {
        JsonToken token = in.currentToken();
        require(
                token.isBoolean() || token == JsonToken.VALUE_NULL,
                in.currentName() + " is a bool");
        return token == JsonToken.VALUE_TRUE;
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new WireException(message);
        }
    }
}
