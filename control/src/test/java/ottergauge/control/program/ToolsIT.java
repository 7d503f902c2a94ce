// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Submission;

/** Tests the command-line tools against a control process, over loopback sockets. */
class ToolsIT {

    @TempDir private Path folder;

    private String file(Submission submission) throws Exception {
        Path file = folder.resolve(submission.id() + ".json");
        return Files.write(file, ResourceCodec.write(submission)).toString();
    }

    @Test
    void filePublishedTwice_isOneChange() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            String unreachable = "127.0.0.1:" + RunningControl.freePort();
            String file = file(SubmissionBuilder.of("a").service("checkout").build());
            for (int i = 0; i < 2; i++) {
                RunningControl tool =
                        RunningControl.run(
                                folder,
                                "publish",
                                "--to",
                                unreachable + "," + control.address(),
                                file);
                assertEquals(0, tool.exitCode(), tool.output());
                assertTrue(tool.output().startsWith("a: version 1 of log "), tool.output());
            }
            assertEquals(1, control.position().version());
        }
    }

    @Test
    void invalidFile_isRejectedWithItsErrors() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            RunningControl rejected =
                    RunningControl.run(
                            folder,
                            "publish",
                            "--to",
                            control.address(),
                            file(SubmissionBuilder.of("a").server("s-1", "none").build()));
            assertEquals(1, rejected.exitCode());
            assertTrue(
                    rejected.output()
                            .contains("put[0].value.service is a service that exists, not none"),
                    rejected.output());
        }
        RunningControl unknown =
                RunningControl.run(
                        folder,
                        "publish",
                        "--within-ms",
                        "300",
                        "--to",
                        "127.0.0.1:" + RunningControl.freePort(),
                        file(SubmissionBuilder.of("b").service("x").build()));
        assertEquals(1, unknown.exitCode());
        assertTrue(unknown.output().contains("b is not known to be accepted"), unknown.output());
        RunningControl none =
                RunningControl.run(folder, "publish", "--to", "127.0.0.1:1", "none.json");
        assertEquals(1, none.exitCode());
        assertTrue(none.output().contains("can't be read"), none.output());
    }

    @Test
    void largeFile_isSplit() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            SubmissionBuilder many = SubmissionBuilder.of("many").service("checkout");
            for (int i = 0; i < 1_200; i++) {
                many.tenant("t-" + i, i);
            }
            String file = file(many.build());
            RunningControl complete =
                    RunningControl.run(folder, "publish", "--to", control.address(), file);
            assertEquals(1, complete.exitCode());
            assertTrue(complete.output().contains("1000 entries at most"), complete.output());
            RunningControl split =
                    RunningControl.run(
                            folder, "publish", "--split", "--to", control.address(), file);
            assertEquals(0, split.exitCode(), split.output());
            assertEquals(3, control.position().version());
        }
    }

    @Test
    void status_showsLagAndRejections() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition first =
                    control.publish(SubmissionBuilder.of("a").service("checkout").build());
            LogPosition second =
                    control.publish(SubmissionBuilder.of("b").tenant("gold", 1).build());
            String call = "/control/v1/changes?log=" + first.log() + "&after=0&node=";
            control.get(call + "n1&region=r1&in_force=" + second.version());
            RunningControl fine = RunningControl.run(folder, "status", "--to", control.address());
            assertEquals(0, fine.exitCode(), fine.output());
            assertTrue(fine.output().contains("version 2: 2 of 2 have it in force"), fine.output());
            control.get(call + "n2&region=r2&in_force=1&refused=2");
            RunningControl lag = RunningControl.run(folder, "status", "--to", control.address());
            assertEquals(1, lag.exitCode(), lag.output());
            assertTrue(lag.output().matches("(?s).*n2 +r2 +c1 +1 +1 +2 .*"), lag.output());
            assertEquals(
                    0,
                    RunningControl.run(
                                    folder,
                                    "status",
                                    "--most-behind",
                                    "1",
                                    "--to",
                                    control.address())
                            .exitCode());
            control.get("/control/v1/changes?log=other&after=7&node=n3&in_force=7");
            RunningControl other =
                    RunningControl.run(
                            folder, "status", "--most-behind", "1", "--to", control.address());
            assertEquals(1, other.exitCode(), other.output());
            assertTrue(other.output().matches("(?s).*n3 .* other log .*"), other.output());
        }
        assertEquals(
                1,
                RunningControl.run(
                                folder, "status", "--to", "127.0.0.1:" + RunningControl.freePort())
                        .exitCode());
    }

    private static Set<String> servers(RunningControl control) {
        Set<String> names = new TreeSet<>();
        try {
            for (Resource resource :
                    ResourceCodec.readSnapshotPage(
                                    control.get("/control/v1/snapshot").body().getBytes(UTF_8))
                            .resources()) {
                if (resource.key().kind() == ResourceKind.SERVER) {
                    names.add(resource.key().name());
                }
            }
        } catch (Exception e) {
            // The process can't be reached now; the caller tries again.
            return Set.of("none");
        }
        return names;
    }

    @Test
    void import_followsDiscovery() throws Exception {
        int port = RunningControl.freePort();
        RunningControl first = RunningControl.serving(folder, port, "");
        try (StubDiscovery discovery = new StubDiscovery()) {
            discovery.update(
                    StubDiscovery.up("s-1"), StubDiscovery.up("s-2"), StubDiscovery.up("bad name"));
            RunningControl tool =
                    RunningControl.start(
                            folder,
                            0,
                            "import",
                            "--to",
                            first.address(),
                            "--service",
                            "checkout",
                            discovery.address());
            try (tool) {
                tool.await("imported", () -> servers(first).equals(Set.of("s-1", "s-2")));
                tool.awaitOutput("skipped: name is");
                discovery.update(StubDiscovery.up("s-3"), StubDiscovery.removed("s-1"));
                tool.await("updated", () -> servers(first).equals(Set.of("s-2", "s-3")));
                discovery.restart(StubDiscovery.up("s-3"), StubDiscovery.up("s-4"));
                tool.await(
                        "updated after the restart of discovery",
                        () -> servers(first).equals(Set.of("s-3", "s-4")));
                first.publish(
                        SubmissionBuilder.of("by-hand").delete(ResourceKind.SERVER, "s-4").build());
                tool.await("restored", () -> servers(first).equals(Set.of("s-3", "s-4")));
                first.kill();
                try (RunningControl second = RunningControl.serving(folder, port, "")) {
                    tool.await(
                            "imported again", () -> servers(second).equals(Set.of("s-3", "s-4")));
                }
                tool.terminate();
                tool.exitCode();
            }
        } finally {
            first.close();
        }
    }
}
