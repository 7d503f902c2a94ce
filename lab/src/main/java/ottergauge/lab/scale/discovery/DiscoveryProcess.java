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
 * Runs the stand-in for discovery as a process. The first command contains the initial list, and
 * each further command a change. The process reports the version and time of each change, the calls
 * that it handled and the bytes that it sent and received.
 */
public final class DiscoveryProcess {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String listen;
    private final double callsPerSecond;
    private final long maxQueueTime;

    /** {@code maxQueueTime} is in microseconds. */
    public DiscoveryProcess(String listen, double callsPerSecond, long maxQueueTime) {
        this.listen = listen;
        this.callsPerSecond = callsPerSecond;
        this.maxQueueTime = maxQueueTime;
    }

    /** Executes the commands, one on each line, until the end of the stream. */
    public void run(InputStream commands, PrintStream out) throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(commands, StandardCharsets.UTF_8));
        Reporter reporter = new Reporter(out);
        try (Loop loop = new Loop()) {
            JsonNode first = JSON.readTree(lines.readLine());
            VersionedServerList list =
                    new VersionedServerList(
                            first.get("version").asLong(), entries(first.get("hosts")));
            warmUp(loop, list);
            DiscoveryCounters counters = new DiscoveryCounters(reporter::report);
            DiscoveryServer server =
                    new DiscoveryServer(loop, list, counters, callsPerSecond, maxQueueTime);
            server.listen(LoopbackAddresses.parse(listen));
            loop.netty().execute(() -> reporter.reportLateness(loop, counters::report));
            reporter.report(
                    "ready", Reporter.wallClockMicros(), JsonNodeFactory.instance.objectNode());
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                JsonNode command = JSON.readTree(line);
                loop.netty().execute(() -> applyChange(server, command, reporter));
            }
        }
    }

    // Uses a second server on the same loop and list, so that the warm-up calls are not counted.
    private static void warmUp(Loop loop, VersionedServerList list) throws IOException {
        DiscoveryCounters counters = new DiscoveryCounters((event, at, fields) -> {});
        DiscoveryServer warm = new DiscoveryServer(loop, list, counters, Double.MAX_VALUE, 0);
        WarmUp.run(warm.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    private static void applyChange(DiscoveryServer server, JsonNode command, Reporter reporter) {
        long at = Reporter.wallClockMicros();
        long version = server.applyChange(entries(command.get("hosts")));
        reporter.report(
                "changed",
                at,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("id", command.get("id").asLong())
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
