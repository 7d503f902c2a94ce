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
 * All links as a process: its first order names them with their addresses and targets, each further
 * one cuts or heals some. It tells when it has done so, and the bytes over each link.
 */
public final class LinksProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CLEAR = 0;

    private final Map<String, Relay> relays = new LinkedHashMap<>();

    /** Runs until its orders end. */
    public void run(InputStream orders, PrintStream out) throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(orders, StandardCharsets.UTF_8));
        Reporter reporter = new Reporter(out);
        try (Loop loop = new Loop()) {
            Links links = new Links(CLEAR);
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
            loop.netty().execute(() -> reporter.watch(loop, () -> tellBytes(reporter)));
            reporter.tell("ready", Reporter.wallMicros(), JsonNodeFactory.instance.objectNode());
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode order = JSON.readTree(line);
                loop.netty().execute(() -> cut(order, reporter));
            }
            loop.netty().submit(() -> relays.values().forEach(Relay::end)).awaitUninterruptibly();
        }
    }

    private static InetSocketAddress source(JsonNode link) {
        return link.has("source") ? new InetSocketAddress(link.get("source").asText(), 0) : null;
    }

    private void cut(JsonNode order, Reporter reporter) {
        boolean cuts = order.get("cut").asBoolean();
        order.get("links").forEach(name -> relays.get(name.asText()).cut(cuts));
        ObjectNode fields = JsonNodeFactory.instance.objectNode().put("cut", cuts);
        fields.set("links", order.get("links"));
        reporter.tell("links", Reporter.wallMicros(), fields);
    }

    private void tellBytes(Reporter reporter) {
        relays.forEach(
                (name, relay) -> {
                    long[] bytes = relay.takeBytes();
                    if (bytes[0] + bytes[1] > 0) {
                        reporter.tell(
                                "link-bytes",
                                Reporter.wallMicros(),
                                JsonNodeFactory.instance
                                        .objectNode()
                                        .put("link", name)
                                        .put("there", bytes[0])
                                        .put("back", bytes[1]));
                    }
                });
    }
}
