// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;

/**
 * A stub of discovery. Responds with the full list, or with the changes after a version as soon as
 * there are any.
 */
final class StubDiscovery implements AutoCloseable {

    private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, DiscoveredEndpoint> hosts = new LinkedHashMap<>();
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private final List<DiscoveredEndpoint> removed = new ArrayList<>();
    private long version = 100;

    StubDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/registry/instances", this::respond);
        server.setExecutor(threads);
        server.start();
    }

    static DiscoveredEndpoint up(String name) {
        return new DiscoveredEndpoint(
                name, new Address("127.0.0.1", 4000), "zone-a", "std", 0, EndpointState.UP, 1, 0);
    }

    static DiscoveredEndpoint removed(String name) {
        return new DiscoveredEndpoint(
                name,
                new Address("127.0.0.1", 4000),
                "zone-a",
                "std",
                0,
                EndpointState.REMOVED,
                1,
                0);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void update(DiscoveredEndpoint... changed) {
        version++;
        for (DiscoveredEndpoint host : changed) {
            versions.put(host.name(), version);
            if (host.state() == EndpointState.REMOVED) {
                hosts.remove(host.name());
                removed.add(host);
            } else {
                hosts.put(host.name(), host);
            }
        }
        notifyAll();
    }

    /** Simulates that another discovery process takes over, whose versions start at 1. */
    synchronized void restart(DiscoveredEndpoint... all) {
        hosts.clear();
        versions.clear();
        removed.clear();
        version = 0;
        update(all);
    }

    private void respond(HttpExchange call) throws IOException {
        Matcher watch = AFTER.matcher(String.valueOf(call.getRequestURI().getQuery()));
        byte[] body =
                watch.find()
                        ? changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                        : fullList();
        call.sendResponseHeaders(200, body.length);
        call.getResponseBody().write(body);
        call.close();
    }

    private synchronized byte[] fullList() {
        return new EndpointList(version, true, List.copyOf(hosts.values())).json();
    }

    private synchronized byte[] changes(long after, long waitMs) {
        long until = System.nanoTime() / 1_000_000 + waitMs;
        while (version == after && System.nanoTime() / 1_000_000 < until) {
            try {
                wait(Math.max(1, until - System.nanoTime() / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        List<DiscoveredEndpoint> changed = new ArrayList<>();
        removed.stream().filter(host -> versions.get(host.name()) > after).forEach(changed::add);
        hosts.values().stream()
                .filter(host -> versions.get(host.name()) > after)
                .forEach(changed::add);
        return new EndpointList(version, false, changed).json();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
