// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;

/**
 * Tests the files in the hot-restart directory against samples that commit 221c4bf wrote. During an
 * upgrade, processes of two versions share these files, so neither their content nor their names
 * may change.
 */
@Timeout(60)
class HotRestartFilesTest {

    private static final Path SAMPLES = Path.of("src/test/resources/compatibility/hot-restart");
    private static final String MARK_OF_S1 = "held-a550ac82-0fd7-368d-9246-8569ef985411";
    private static final String MARK_OF_S2 = "held-66fd13e0-7e4e-35e3-9675-bdccb7094ac3";
    private static final String PROCESS = "process-10494";
    private static final long S1_SINCE = 1796291815306065L;
    private static final long S2_SINCE = 1796291815313551L;
    private static final int MAX_LIST_BYTES = 1 << 20;

    @TempDir private Path folder;

    @BeforeEach
    void copySamples() throws IOException {
        try (DirectoryStream<Path> samples = Files.newDirectoryStream(SAMPLES)) {
            for (Path sample : samples) {
                Files.copy(sample, folder.resolve(sample.getFileName()));
            }
        }
    }

    private byte[] written(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private static byte[] sample(String name) throws IOException {
        return Files.readAllBytes(SAMPLES.resolve(name));
    }

    @Test
    void storedMaintenanceMarks_areRead() {
        assertEquals(Map.of("s-1", S1_SINCE, "s-2", S2_SINCE), new MaintenanceStore(folder).read());
    }

    @Test
    void maintenanceMarks_areWrittenAsBefore() throws IOException {
        Files.delete(folder.resolve(MARK_OF_S1));
        new MaintenanceStore(folder).mark("s-1", S1_SINCE);
        assertArrayEquals(sample(MARK_OF_S1), written(MARK_OF_S1));
    }

    @Test
    void storedMaintenanceMark_isDeletedByServerName() throws IOException {
        new MaintenanceStore(folder).unmark("s-2");
        assertFalse(Files.exists(folder.resolve(MARK_OF_S2)));
        assertEquals(Map.of("s-1", S1_SINCE), new MaintenanceStore(folder).read());
    }

    /**
     * Guards against a maintenance that ends by itself: without its mark it looks as if another
     * process had ended it.
     */
    @Test
    void maintenanceWhoseMarkCannotBeWritten_lastsInThisProcess() throws IOException {
        Files.createDirectory(folder.resolve("part-" + ProcessHandle.current().pid()));
        MaintenanceStore store = new MaintenanceStore(folder);
        store.mark("s-3", S1_SINCE);
        assertEquals(Map.of("s-1", S1_SINCE, "s-2", S2_SINCE, "s-3", S1_SINCE), store.read());
        store.unmark("s-3");
        assertEquals(Map.of("s-1", S1_SINCE, "s-2", S2_SINCE), store.read());
    }

    @Test
    void storedEndpointList_replacesAnOlderOneOfTheConfiguration() {
        NodeConfig config =
                new TestConfig()
                        .withEndpoints(endpointJson("s-9", "127.0.0.1:9", "in_service"))
                        .build();
        EndpointList list =
                new EndpointCache(folder, MAX_LIST_BYTES)
                        .withCachedList(config, false)
                        .knownEndpoints();
        assertEquals(42, list.version());
        assertTrue(list.complete());
        assertEquals(
                List.of("s-1", "s-2"),
                list.endpoints().stream().map(DiscoveredEndpoint::name).toList());
        DiscoveredEndpoint second = list.endpoints().get(1);
        assertEquals("127.0.0.1:3", second.address().toString());
        assertEquals("b", second.zone());
        assertEquals("m1", second.kind());
        assertEquals(4, second.cell());
        assertEquals(EndpointState.DRAINING, second.state());
        assertEquals(0.5, second.weight());
        assertEquals(1_700_000_000_000L, second.startedAtMs());
    }

    @Test
    void endpointList_isWrittenAsBefore() throws Exception {
        EndpointList list = EndpointList.read(sample("list.json"));
        Files.delete(folder.resolve("list.json"));
        new EndpointCache(folder, MAX_LIST_BYTES).write(list);
        assertArrayEquals(sample("list.json"), written("list.json"));
    }

    @Test
    void processFileWithoutLock_isDeletedAsLeftover() throws IOException {
        HotRestartProcesses.OtherProcesses others = new HotRestartProcesses(folder).others();
        assertEquals(new HotRestartProcesses.OtherProcesses(Set.of(), false, 0), others);
        assertFalse(Files.exists(folder.resolve(PROCESS)));
    }

    @Test
    void processFileThatAnotherProcessLocks_isRead() throws Exception {
        Files.write(folder.resolve(PROCESS), new byte[] {1, 0, 0, 1, 2});
        Process other =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LockHolder.class.getName(),
                                folder.resolve(PROCESS).toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        try (InputStream output = other.getInputStream()) {
            assertEquals(LockHolder.LOCKED, output.read());
            assertEquals(
                    new HotRestartProcesses.OtherProcesses(Set.of("10494"), true, 258),
                    new HotRestartProcesses(folder).others());
        } finally {
            other.destroyForcibly().waitFor();
        }
    }

    @Test
    void processFile_isWrittenAsBefore() throws IOException {
        HotRestartProcesses own = new HotRestartProcesses(folder);
        own.register();
        own.publish(true, 0);
        assertArrayEquals(sample(PROCESS), written("process-" + ProcessHandle.current().pid()));
        own.unregister();
        assertFalse(Files.exists(folder.resolve("process-" + ProcessHandle.current().pid())));
    }

    /**
     * Runs in a second process and locks a file until the test kills that process. The test needs a
     * second process, since a JVM holds file locks on behalf of all its threads.
     */
    static final class LockHolder {

        static final int LOCKED = 'l';

        private LockHolder() {}

        public static void main(String[] args) throws IOException, InterruptedException {
            try (FileChannel file = FileChannel.open(Path.of(args[0]), StandardOpenOption.WRITE)) {
                file.lock();
                System.out.write(LOCKED);
                System.out.flush();
                Thread.sleep(Long.MAX_VALUE);
            }
        }
    }
}
