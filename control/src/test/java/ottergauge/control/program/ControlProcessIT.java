// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.resources.LogPosition;

/** Tests start, configuration and termination of the process. */
class ControlProcessIT extends ControlITFixture {

    @Test
    void termination_completesPendingPolls() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition at = control.publish(SubmissionBuilder.of("a").service("checkout").build());
            CompletableFuture<HttpResponse<String>> waiting =
                    control.getLater(changes(at, "&wait_ms=10000&services=checkout&node=n1"));
            control.await(
                    "reported by the node",
                    () -> {
                        try {
                            return control.get("/control/v1/status").body().contains("\"n1\"");
                        } catch (IOException | InterruptedException e) {
                            return false;
                        }
                    });
            control.terminate();
            assertEquals(List.of(), versions(page(waiting.get())));
            control.exitCode();
            assertTrue(
                    control.output().contains("c1 stopped: all pending requests responded to"),
                    control.output());
        }
    }

    @Test
    void invalidConfiguration_isReportedCompletely() throws Exception {
        RunningControl bad =
                RunningControl.starting(
                        folder, 0, ",\"waiting_polls\":0,\"pace\":1,\"idle_ms\":\"x\"");
        assertEquals(1, bad.exitCode());
        assertTrue(bad.output().contains("listen is a numeric host, : and a port"), bad.output());
        assertTrue(
                bad.output().contains("waiting_polls is a whole number from 1 to 65536, not 0"),
                bad.output());
        assertTrue(bad.output().contains("pace is no key"), bad.output());
        assertTrue(bad.output().contains("idle_ms is a whole number"), bad.output());
        RunningControl none =
                RunningControl.run(folder, "serve", "--config", folder.resolve("none").toString());
        assertEquals(1, none.exitCode());
        assertTrue(none.output().contains("can't be read"), none.output());
    }

    @Test
    void addressInUse_endsTheProcess() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            RunningControl control = RunningControl.starting(folder, taken.getLocalPort(), "");
            assertEquals(1, control.exitCode());
            assertTrue(control.output().contains("cannot listen on"), control.output());
        }
    }

    @Test
    void wrongUsage_exitsWithTwo() throws Exception {
        assertEquals(2, RunningControl.run(folder).exitCode());
        assertEquals(2, RunningControl.run(folder, "serve").exitCode());
        assertEquals(2, RunningControl.run(folder, "publish", "--to", "nowhere", "f").exitCode());
        assertEquals(
                2,
                RunningControl.run(
                                folder,
                                "import",
                                "--to",
                                "127.0.0.1:1",
                                "--service",
                                "a b",
                                "127.0.0.1:2")
                        .exitCode());
    }
}
