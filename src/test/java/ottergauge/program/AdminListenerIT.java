// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.program.AdminClient.call;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** The admin listener and upgrades without downtime, with real processes. */
@Timeout(120)
class AdminListenerIT {

    private static final String UNREACHABLE = "127.0.0.1:1";

    @TempDir private Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();
    private int port;

    @org.junit.jupiter.api.AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T closing(T each) {
        open.add(0, each);
        return each;
    }

    private RunningNode process(int adminPort, String... hosts) throws Exception {
        port = port == 0 ? RunningNode.freePort() : port;
        return closing(
                RunningNode.ready(
                        folder,
                        new TestConfig()
                                .withAdminListener("127.0.0.1:" + adminPort)
                                .withEndpoints(hosts),
                        UNREACHABLE,
                        port));
    }

    private static long stat(int adminPort, String name) throws IOException {
        return call(adminPort, "GET /stats")
                .body()
                .lines()
                .filter(line -> line.startsWith("balancer." + name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    /** An invalid request gets an error status, and the node keeps serving other requests. */
    @ParameterizedTest
    @CsvSource({
        "no call at all,400",
        "GET /nothing HTTP/1.1,404",
        "GET /servers/s-1/maint HTTP/1.1,405",
        "POST /stats HTTP/1.1,405",
        "POST /servers/s-9/maint HTTP/1.1,404",
        "POST /servers/%zz/maint HTTP/1.1,404",
        "POST /servers//maint HTTP/1.1,404",
        "GET /stats HTTP/1.0,400"
    })
    void invalidRequestGetsAnErrorStatus(String line, int status) throws Exception {
        int adminPort = RunningNode.freePort();
        process(adminPort, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        try (Client operator =
                new Client(new Socket(InetAddress.getLoopbackAddress(), adminPort))) {
            assertEquals(status, operator.exchange(line + "\r\nHost: x\r\n\r\n").status());
        }
        assertEquals(200, call(adminPort, "GET /healthcheck").status());
    }

    /** Hundreds of connections without a complete request block neither operators nor clients. */
    @Test
    void silentConnectionsAreClosedToMakeRoom() throws Exception {
        int adminPort = RunningNode.freePort();
        StubServer server = closing(StubServer.queryControlled());
        RunningNode node = process(adminPort, endpointJson("s-1", server.address(), "in_service"));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket socket = closing(new Socket(InetAddress.getLoopbackAddress(), adminPort));
            String part = i % 2 == 0 ? "" : "GET /sta";
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            silent.add(socket);
        }
        long from = System.nanoTime();
        assertEquals(200, call(adminPort, "GET /stats").status());
        assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(1), "within a second");
        try (Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
        }
        for (Socket socket : silent) {
            socket.setSoTimeout(10_000);
            try {
                while (socket.getInputStream().read() >= 0) {
                    // The node may send a 408 response before it closes the connection.
                }
            } catch (java.net.SocketException e) {
                // A reset also closes the connection.
            }
        }
    }

    /** Without this warm-up, a node rejected 500 requests in its first second. */
    @Test
    void socketPathIsWarmedUpBeforeClientsAreServed() throws Exception {
        RunningNode node = process(RunningNode.freePort());
        int warmUpLogged = node.log().indexOf("warm-up requests to itself");
        assertTrue(warmUpLogged > 0 && warmUpLogged < node.log().indexOf("listens on"), node.log());
        assertTrue(
                node.log().matches("(?s).* sent [1-9][0-9]{2} warm-up requests to itself.*"),
                node.log());
        assertFalse(node.log().contains("side=itself"), "a line for each connection");
    }

    /** A flood that uses up the connections for clients does not affect the admin listener. */
    @Test
    void floodOfClientsDoesNotBlockTheAdminListener() throws Exception {
        int adminPort = RunningNode.freePort();
        port = RunningNode.freePort();
        RunningNode node =
                closing(
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .sockets(160)
                                        .withAdminListener("127.0.0.1:" + adminPort),
                                UNREACHABLE,
                                port));
        for (int i = 0; i < 300; i++) {
            closing(node.client().socket());
        }
        assertEquals(200, call(adminPort, "GET /healthcheck").status());
    }

    @Test
    void statsCountTheOutcomesOfRequests() throws Exception {
        int adminPort = RunningNode.freePort();
        StubServer server = closing(StubServer.queryControlled());
        RunningNode node = process(adminPort, endpointJson("s-1", server.address(), "in_service"));
        try (Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertEquals(502, client.exchange(Client.request("grant", "error", "")).status());
        }
        assertEquals(1, stat(adminPort, "completed.read"));
        assertEquals(1, stat(adminPort, "failed.grant"));
        assertEquals(2, stat(adminPort, "upstream_requests"));
        assertEquals(0, stat(adminPort, "pending"));
        assertEquals(1, stat(adminPort, "members"));
    }

    /**
     * Two processes form one node: a server stays in maintenance during the upgrade, and no client
     * is rejected.
     */
    @Test
    void upgradeKeepsClientsAndServersInMaintenance() throws Exception {
        StubServer server = closing(StubServer.queryControlled());
        int before = RunningNode.freePort();
        int after = RunningNode.freePort();
        RunningNode old =
                process(
                        before,
                        endpointJson("s-1", server.address(), "in_service"),
                        endpointJson("s-2", "127.0.0.1:2", "in_service"));
        assertEquals(200, call(before, "POST /servers/s-2/maint").status());
        assertEquals(200, call(before, "POST /servers/s-2/maint").status());
        RunningNode next = process(after);
        assertEquals(200, call(after, "GET /healthcheck").status());
        assertEquals("s-1 used\ns-2 held\n", call(after, "GET /servers").body());
        old.awaitLog("runs beside another process");
        try (Client kept = old.client();
                Client other = old.client()) {
            assertEquals(200, kept.exchange(Client.request("read", "ok", "")).status());
            assertEquals(200, other.exchange(Client.request("read", "ok", "")).status());
            old.process.destroy();
            old.awaitLog("another process takes its clients");
            assertEquals(200, kept.exchange(Client.request("read", "ok", "")).status());
            assertEquals(200, other.exchange(Client.request("read", "ok", "")).status());
            for (int i = 0; i < 20; i++) {
                try (Client fresh = next.client()) {
                    assertEquals(200, fresh.exchange(Client.request("read", "ok", "")).status());
                }
            }
        }
        old.exitCode();
        next.awaitLog("runs alone again");
        assertEquals(200, call(after, "POST /servers/s-2/ready").status());
        assertEquals("s-1 used\ns-2 used\n", call(after, "GET /servers").body());
        assertEquals(1, filesNamed("process-"));
        assertEquals(0, filesNamed("held-"));
    }

    /** A killed process leaves no file that the next one takes for that of a live process. */
    @Test
    void processStartsAloneDespiteLeftoverFiles() throws Exception {
        int adminPort = RunningNode.freePort();
        RunningNode first = process(adminPort, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        assertEquals(200, call(adminPort, "POST /servers/s-1/maint").status());
        first.process.destroyForcibly().waitFor();
        Files.writeString(hotRestartDirectory().resolve("held-broken"), "no time");
        Files.writeString(hotRestartDirectory().resolve("list.json"), "{");
        int next = RunningNode.freePort();
        RunningNode second = process(next, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        assertEquals("s-1 held\n", call(next, "GET /servers").body());
        assertFalse(second.log().contains("runs beside"));
        second.process.destroy();
        second.awaitLog("stopped: all pending requests responded to");
    }

    private Path hotRestartDirectory() throws IOException {
        try (var folders = Files.newDirectoryStream(folder, "ottergauge-*")) {
            return folders.iterator().next();
        }
    }

    private int filesNamed(String prefix) throws IOException {
        int count = 0;
        try (var files = Files.newDirectoryStream(hotRestartDirectory(), prefix + "*")) {
            for (Path ignored : files) {
                count++;
            }
        }
        return count;
    }
}
