// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.resources.LogPosition;

/** Tests the limits of the packaged jar: polls, connections, idle clients and slow clients. */
class ControlLimitsIT extends ControlITFixture {

    @Test
    void pendingPolls_areLimited() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"waiting_polls\":2")) {
            LogPosition at = control.publish(SubmissionBuilder.of("a").tenant("gold", 1).build());
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                calls.add(control.getLater(changes(at, "&wait_ms=10000&node=n" + i)));
            }
            control.await("one rejected", () -> calls.stream().anyMatch(CompletableFuture::isDone));
            CompletableFuture<HttpResponse<String>> rejected =
                    calls.stream().filter(CompletableFuture::isDone).findFirst().orElseThrow();
            assertRejected(503, "busy", rejected.get());
            control.publish(SubmissionBuilder.of("b").tenant("gold", 2).build());
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                if (call != rejected) {
                    assertEquals(List.of(2L), versions(page(call.get())));
                }
            }
        }
    }

    @Test
    void connections_areLimited() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"connections\":2")) {
            String status = "GET /control/v1/status HTTP/1.1\r\n\r\n";
            try (Socket first = control.connect();
                    Socket second = control.connect()) {
                first.getOutputStream().write(status.getBytes(UTF_8));
                assertEquals('H', first.getInputStream().read());
                second.getOutputStream().write(status.getBytes(UTF_8));
                assertEquals('H', second.getInputStream().read());
                assertEquals("", raw(control, status));
            }
            control.await(
                    "capacity freed",
                    () -> {
                        try {
                            return raw(
                                            control,
                                            status.replace(
                                                    "\r\n\r\n", "\r\nConnection: close\r\n\r\n"))
                                    .startsWith("HTTP/1.1 200");
                        } catch (IOException e) {
                            return false;
                        }
                    });
        }
    }

    @Test
    void idleConnections_areClosed() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"idle_ms\":300")) {
            assertEquals("", raw(control, ""));
            assertEquals("", raw(control, "GET /control/v1/status HTTP/1.1\r\nHost: x"));
            assertEquals(
                    "",
                    raw(
                            control,
                            "POST /control/v1/changes HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"));
            assertTrue(
                    raw(control, "GET /control/v1/status HTTP/1.1\r\n\r\n")
                            .startsWith("HTTP/1.1 200"));
            LogPosition at = control.position();
            long startedNanos = System.nanoTime();
            page(control.get(changes(at, "&wait_ms=2500")));
            assertTrue(System.nanoTime() - startedNanos >= TimeUnit.MILLISECONDS.toNanos(2_500));
        }
    }

    @Test
    void slowReader_isDisconnected() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"slow_reader_ms\":300")) {
            publishLargeState(control);
            try (Socket slow = new Socket()) {
                slow.setReceiveBufferSize(4_096);
                slow.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), control.port()));
                slow.getOutputStream()
                        .write(
                                "GET /control/v1/snapshot?max_bytes=524288 HTTP/1.1\r\n\r\n"
                                        .getBytes(UTF_8));
                control.await(
                        "closed",
                        () -> {
                            try {
                                // Writing to a connection fails after the other side has closed it.
                                slow.getOutputStream().write("\r\n".getBytes(UTF_8));
                                return false;
                            } catch (IOException e) {
                                return true;
                            }
                        });
            }
            assertEquals(200, control.get("/control/v1/status").statusCode());
        }
    }

    @Test
    void pipeliningWithoutReading_isBackpressured() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"slow_reader_ms\":60000")) {
            publishLargeState(control);
            String call = "GET /control/v1/snapshot?max_bytes=524288 HTTP/1.1\r\n\r\n";
            byte[] calls = call.repeat(1_000).getBytes(UTF_8);
            long maxBytes = 64 << 20;
            try (Socket pipeliningClient = control.connect()) {
                Thread writer = new Thread(() -> writeUpTo(pipeliningClient, calls, maxBytes));
                writer.start();
                // The writer blocks once the server stops reading, because this amount of data
                // doesn't fit into the socket buffers.
                writer.join(TimeUnit.SECONDS.toMillis(3));
                assertTrue(writer.isAlive(), "the server read everything");
                assertEquals(200, control.get("/control/v1/status").statusCode());
            }
        }
    }

    private static void publishLargeState(RunningControl control) throws Exception {
        for (int change = 0; change < 8; change++) {
            SubmissionBuilder tenants = SubmissionBuilder.of("much-" + change);
            for (int i = 0; i < 500; i++) {
                tenants.tenant("t-" + change + "-" + i, i);
            }
            control.publish(tenants.build());
        }
    }

    private static void writeUpTo(Socket socket, byte[] part, long maxBytes) {
        try {
            OutputStream out = socket.getOutputStream();
            for (long written = 0; written < maxBytes; written += part.length) {
                out.write(part);
            }
        } catch (IOException e) {
            // The test closes the socket when it ends.
        }
    }
}
