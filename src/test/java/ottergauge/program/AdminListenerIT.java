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

/** The operators' door and upgrades, with real processes. */
@Timeout(120)
class AdminListenerIT {

    private static final String NOWHERE = "127.0.0.1:1";

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

    private RunningNode process(int door, String... hosts) throws Exception {
        port = port == 0 ? RunningNode.freePort() : port;
        return closing(
                RunningNode.ready(
                        folder,
                        new TestConfig()
                                .withAdminListener("127.0.0.1:" + door)
                                .withEndpoints(hosts),
                        NOWHERE,
                        port));
    }

    private static long figure(int door, String name) throws IOException {
        return call(door, "GET /stats")
                .body()
                .lines()
                .filter(line -> line.startsWith("balancer." + name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    /** A call that is none gets its answer, and the node goes on for others. */
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
    void aBadCallGetsItsNo(String line, int status) throws Exception {
        int door = RunningNode.freePort();
        process(door, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        try (Client operator = new Client(new Socket(InetAddress.getLoopbackAddress(), door))) {
            assertEquals(status, operator.ask(line + "\r\nHost: x\r\n\r\n").status());
        }
        assertEquals(200, call(door, "GET /healthcheck").status());
    }

    /** Hundreds that say nothing, or half a call, keep neither operators nor clients out. */
    @Test
    void silentCallersGiveWay() throws Exception {
        int door = RunningNode.freePort();
        StubServer server = closing(StubServer.obedient());
        RunningNode node = process(door, endpointJson("s-1", server.address(), "in_service"));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket socket = closing(new Socket(InetAddress.getLoopbackAddress(), door));
            String part = i % 2 == 0 ? "" : "GET /sta";
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            silent.add(socket);
        }
        long from = System.nanoTime();
        assertEquals(200, call(door, "GET /stats").status());
        assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(1), "within a second");
        try (Client client = node.client()) {
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
        }
        for (Socket socket : silent) {
            socket.setSoTimeout(10_000);
            try {
                while (socket.getInputStream().read() >= 0) {
                    // A word that it was too slow may come first.
                }
            } catch (java.net.SocketException e) {
                // A reset ends it as well.
            }
        }
    }

    /** With its socket path cold a node refused 500 requests in its first second. */
    @Test
    void theSocketPathIsWarmBeforeClientsAreTaken() throws Exception {
        RunningNode node = process(RunningNode.freePort());
        int called = node.log().indexOf("warm-up requests to itself");
        assertTrue(called > 0 && called < node.log().indexOf("listens on"), node.log());
        assertTrue(
                node.log().matches("(?s).* sent [1-9][0-9]{2} warm-up requests to itself.*"),
                node.log());
        assertFalse(node.log().contains("side=itself"), "no line for each");
    }

    /** A flood that fills the clients' part leaves the door alone. */
    @Test
    void aFloodOfClientsLeavesTheDoorOpen() throws Exception {
        int door = RunningNode.freePort();
        port = RunningNode.freePort();
        RunningNode node =
                closing(
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .sockets(160)
                                        .withAdminListener("127.0.0.1:" + door),
                                NOWHERE,
                                port));
        for (int i = 0; i < 300; i++) {
            closing(node.client().socket());
        }
        assertEquals(200, call(door, "GET /healthcheck").status());
    }

    @Test
    void figuresTellWhatBecameOfRequests() throws Exception {
        int door = RunningNode.freePort();
        StubServer server = closing(StubServer.obedient());
        RunningNode node = process(door, endpointJson("s-1", server.address(), "in_service"));
        try (Client client = node.client()) {
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertEquals(502, client.ask(Client.request("grant", "error", "")).status());
        }
        assertEquals(1, figure(door, "completed.read"));
        assertEquals(1, figure(door, "failed.grant"));
        assertEquals(2, figure(door, "upstream_requests"));
        assertEquals(0, figure(door, "pending"));
        assertEquals(1, figure(door, "members"));
    }

    /**
     * Two processes are one node: a server stays out over the upgrade, and no client is turned
     * back.
     */
    @Test
    void anUpgradeKeepsClientsAndServersHeldOut() throws Exception {
        StubServer server = closing(StubServer.obedient());
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
            assertEquals(200, kept.ask(Client.request("read", "ok", "")).status());
            assertEquals(200, other.ask(Client.request("read", "ok", "")).status());
            old.process.destroy();
            old.awaitLog("another process takes its clients");
            assertEquals(200, kept.ask(Client.request("read", "ok", "")).status());
            assertEquals(200, other.ask(Client.request("read", "ok", "")).status());
            for (int i = 0; i < 20; i++) {
                try (Client fresh = next.client()) {
                    assertEquals(200, fresh.ask(Client.request("read", "ok", "")).status());
                }
            }
        }
        old.exitCode();
        next.awaitLog("runs alone again");
        assertEquals(200, call(after, "POST /servers/s-2/ready").status());
        assertEquals("s-1 used\ns-2 used\n", call(after, "GET /servers").body());
        assertEquals(1, leftIn("process-"));
        assertEquals(0, leftIn("held-"));
    }

    /** Killed, neither process leaves anything that the next one takes for one that lives. */
    @Test
    void aProcessStartsAloneWithLeftovers() throws Exception {
        int door = RunningNode.freePort();
        RunningNode first = process(door, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        assertEquals(200, call(door, "POST /servers/s-1/maint").status());
        first.process.destroyForcibly().waitFor();
        Files.writeString(shared().resolve("held-broken"), "no time");
        Files.writeString(shared().resolve("list.json"), "{");
        int next = RunningNode.freePort();
        RunningNode second = process(next, endpointJson("s-1", "127.0.0.1:2", "in_service"));
        assertEquals("s-1 held\n", call(next, "GET /servers").body());
        assertFalse(second.log().contains("runs beside"));
        second.process.destroy();
        second.awaitLog("stopped: all pending requests responded to");
    }

    private Path shared() throws IOException {
        try (var folders = Files.newDirectoryStream(folder, "ottergauge-*")) {
            return folders.iterator().next();
        }
    }

    private int leftIn(String mark) throws IOException {
        int count = 0;
        try (var files = Files.newDirectoryStream(shared(), mark + "*")) {
            for (Path ignored : files) {
                count++;
            }
        }
        return count;
    }
}
