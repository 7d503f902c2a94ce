// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.link;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.scale.process.Reporter;

/**
 * Runs all links as a process. The first command contains the names, addresses and targets of the
 * links; each further command cuts or restores some of them. The process reports each change, and
 * the bytes on each link.
 */
public final class LinksProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long SEED = 0;

    private final Map<String, Relay> relays = new LinkedHashMap<>();

    /** Executes the commands, one on each line, until the end of the stream. */
    public void run(InputStream commands, PrintStream out) throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(commands, StandardCharsets.UTF_8));
        Reporter reporter = new Reporter(out);
        try (Loop loop = new Loop()) {
            Links links = new Links(SEED);
            for (JsonNode each : JSON.readTree(lines.readLine()).get("links")) {
                String name = each.get("name").asText();
                Link link = links.add(name, each.get("target").asText(), 0, 0);
                relays.put(
                        name,
                        new Relay(
                                loop,
                                link,
                                LoopbackAddresses.parse(each.get("listen").asText()),
                                LoopbackAddresses.parse(each.get("target").asText()),
                                source(each)));
            }
            loop.netty().execute(() -> reporter.reportLateness(loop, () -> reportBytes(reporter)));
            reporter.report(
                    "ready", Reporter.wallClockMicros(), JsonNodeFactory.instance.objectNode());
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode command = JSON.readTree(line);
                loop.netty().execute(() -> cut(command, reporter));
            }
            loop.netty().submit(() -> relays.values().forEach(Relay::end)).awaitUninterruptibly();
        }
    }

    private static InetSocketAddress source(JsonNode link) {
        return link.has("source") ? new InetSocketAddress(link.get("source").asText(), 0) : null;
    }

    private void cut(JsonNode command, Reporter reporter) {
        boolean cuts = command.get("cut").asBoolean();
        command.get("links").forEach(name -> relays.get(name.asText()).cut(cuts));
        ObjectNode fields = JsonNodeFactory.instance.objectNode().put("cut", cuts);
        fields.set("links", command.get("links"));
        reporter.report("links", Reporter.wallClockMicros(), fields);
    }

    private void reportBytes(Reporter reporter) {
        relays.forEach(
                (name, relay) -> {
                    long[] bytes = relay.readAndResetBytes();
                    if (bytes[0] + bytes[1] > 0) {
                        reporter.report(
                                "link-bytes",
                                Reporter.wallClockMicros(),
                                JsonNodeFactory.instance
                                        .objectNode()
                                        .put("link", name)
                                        .put("there", bytes[0])
                                        .put("back", bytes[1]));
                    }
                });
    }
}
