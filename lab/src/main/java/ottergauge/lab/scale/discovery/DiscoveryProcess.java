// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.scale.process.Reporter;

/**
 * Discovery as a process: its first order is the list that it begins with, each further one a
 * change. It tells the version and instant of each change, its calls and its bytes.
 */
public final class DiscoveryProcess {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String listen;
    private final double callsPerSecond;
    private final long patience;

    /** {@code patience} is in microseconds. */
    public DiscoveryProcess(String listen, double callsPerSecond, long patience) {
        this.listen = listen;
        this.callsPerSecond = callsPerSecond;
        this.patience = patience;
    }

    /** Runs until its orders end. */
    public void run(InputStream orders, PrintStream out) throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(orders, StandardCharsets.UTF_8));
        Reporter reporter = new Reporter(out);
        try (Loop loop = new Loop()) {
            JsonNode first = JSON.readTree(lines.readLine());
            VersionedServerList list = new VersionedServerList(first.get("version").asLong(), entries(first.get("hosts")));
            warmUp(loop, list);
            DiscoveryCounters counts = new DiscoveryCounters(reporter::tell);
            DiscoveryServer server =
                    new DiscoveryServer(loop, list, counts, callsPerSecond, patience);
            server.listen(LoopbackAddresses.parse(listen));
            loop.netty().execute(() -> reporter.watch(loop, counts::tell));
            reporter.tell("ready", Reporter.wallMicros(), JsonNodeFactory.instance.objectNode());
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode order = JSON.readTree(line);
                loop.netty().execute(() -> change(server, order, reporter));
            }
        }
    }

    // A service of its own on the same loop and list, whose counts are nobody's.
    private static void warmUp(Loop loop, VersionedServerList list) throws IOException {
        DiscoveryCounters counts = new DiscoveryCounters((event, at, fields) -> {});
        DiscoveryServer warm = new DiscoveryServer(loop, list, counts, Double.MAX_VALUE, 0);
        WarmUp.run(warm.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    private static void change(DiscoveryServer server, JsonNode order, Reporter reporter) {
        long at = Reporter.wallMicros();
        long version = server.change(entries(order.get("hosts")));
        reporter.tell(
                "changed",
                at,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("id", order.get("id").asLong())
                        .put("version", version));
    }

    private static List<VersionedServerList.Entry> entries(JsonNode hosts) {
        List<VersionedServerList.Entry> entries = new ArrayList<>();
        hosts.forEach(
                host ->
                        entries.add(
                                new VersionedServerList.Entry(
                                        host.get("host").asText(),
                                        "terminated".equals(host.get("health").asText()),
                                        host.toString())));
        return entries;
    }
}
