// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.program.AdminClient.call;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/**
 * An upgrade without downtime between two versions on one address. It needs the previous version,
 * which scripts/build-previous-version builds, and so isn't named like the tests that always run:
 * .ci/run runs it.
 */
@Timeout(120)
class UpgradeFromPreviousVersionCheck {

    private static final String PREVIOUS_VERSION_PROPERTY = "ottergauge.previousVersion";
    private static final Path CURRENT = Path.of(".");
    private static final String NO_DISCOVERY = "127.0.0.1:1";

    @TempDir private Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();
    private Path previous;
    private int port;

    @BeforeEach
    void findPreviousVersion() throws Exception {
        String directory = System.getProperty(PREVIOUS_VERSION_PROPERTY);
        assertNotNull(
                directory,
                "-D"
                        + PREVIOUS_VERSION_PROPERTY
                        + " has to name the directory that scripts/build-previous-version built");
        previous = Path.of(directory);
        assertTrue(
                Files.isRegularFile(previous.resolve("target/ottergauge.jar")),
                previous + " holds no built version");
        port = RunningNode.freePort();
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T closing(T each) {
        open.add(0, each);
        return each;
    }

    private RunningNode ready(Path version, int management, String... hosts) throws Exception {
        TestConfig config =
                new TestConfig().withAdminListener("127.0.0.1:" + management).withEndpoints(hosts);
        return closing(RunningNode.ready(version, folder, config, NO_DISCOVERY, port));
    }

    @Test
    void newVersionTakesOverFromThePreviousOne() throws Exception {
        takesOver(previous, CURRENT);
    }

    @Test
    void previousVersionTakesOverAgainFromTheNewOne() throws Exception {
        takesOver(CURRENT, previous);
    }

    /** The endpoint list and a server in maintenance are handed on, and no client is rejected. */
    private void takesOver(Path oldVersion, Path newVersion) throws Exception {
        StubServer server = closing(StubServer.queryControlled());
        int oldManagement = RunningNode.freePort();
        int newManagement = RunningNode.freePort();
        RunningNode oldProcess =
                ready(
                        oldVersion,
                        oldManagement,
                        endpointJson("s-1", server.address(), "in_service"),
                        endpointJson("s-2", "127.0.0.1:2", "in_service"));
        assertEquals(200, call(oldManagement, "POST /servers/s-2/maint").status());
        RunningNode newProcess = ready(newVersion, newManagement);
        assertEquals(200, call(newManagement, "GET /healthcheck").status());
        assertEquals("s-1 used\ns-2 held\n", call(newManagement, "GET /servers").body());
        oldProcess.awaitLog("runs beside another process");
        try (Client kept = oldProcess.client()) {
            assertServed(kept);
            oldProcess.process.destroy();
            oldProcess.awaitLog("another process takes its clients");
            assertServed(kept);
            for (int i = 0; i < 20; i++) {
                try (Client fresh = newProcess.client()) {
                    assertServed(fresh);
                }
            }
        }
        oldProcess.exitCode();
        assertTrue(oldProcess.log().contains(stoppedMessage(oldVersion)), oldProcess.log());
        newProcess.awaitLog("runs alone again");
        assertEquals(200, call(newManagement, "POST /servers/s-2/ready").status());
        assertEquals("s-1 used\ns-2 used\n", call(newManagement, "GET /servers").body());
        assertEquals(1, filesNamed("process-"), "process files");
        assertEquals(0, filesNamed("held-"), "maintenance marks");
    }

    private static String stoppedMessage(Path version) {
        return version.equals(CURRENT)
                ? "stopped: all pending requests responded to"
                : "has answered all and ends";
    }

    private static void assertServed(Client client) throws Exception {
        assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
    }

    private int filesNamed(String prefix) throws Exception {
        int count = 0;
        try (DirectoryStream<Path> shared = Files.newDirectoryStream(folder, "ottergauge-*")) {
            for (Path each : shared) {
                try (DirectoryStream<Path> files = Files.newDirectoryStream(each, prefix + "*")) {
                    for (Path ignored : files) {
                        count++;
                    }
                }
            }
        }
        return count;
    }
}
