// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/** Starts the jar and speaks to it over loopback sockets. */
class ControlIT {

    private static final String CHANGES = "/control/v1/changes";

    @TempDir private Path folder;

    private static String changes(LogPosition after, String more) {
        return CHANGES + "?log=" + after.log() + "&after=" + after.version() + more;
    }

    private static ChangePage page(HttpResponse<String> answer) throws ProtocolException {
        assertEquals(200, answer.statusCode(), answer.body());
        return ResourceCodec.readChangePage(answer.body().getBytes(StandardCharsets.UTF_8));
    }

    private static List<Long> versions(ChangePage page) {
        return page.changes().stream().map(Change::version).toList();
    }

    private static void assertRejected(int status, String says, HttpResponse<String> answer) {
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains(says), answer.body());
        assertFalse(answer.body().contains("\n"), answer.body());
    }

    @Test
    void pendingPoll_receivesAChange() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition begin =
                    control.publish(
                            SubmissionBuilder.of("a")
                                    .service("checkout")
                                    .service("search")
                                    .build());
            long asked = System.nanoTime();
            CompletableFuture<HttpResponse<String>> waiting =
                    control.getLater(changes(begin, "&wait_ms=10000&services=checkout"));
            control.publish(SubmissionBuilder.of("b").server("s-1", "search").build());
            LogPosition second =
                    control.publish(SubmissionBuilder.of("c").server("s-2", "checkout").build());
            ChangePage page = page(waiting.get());
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            assertEquals(List.of(second.version()), versions(page));
            assertTrue(tookMs < 9_000, "answered when its time was over: " + tookMs);
            assertEquals(List.of(), versions(page(control.get(changes(second, "")))));
        }
    }

    @Test
    void subscriber_resumesByVersionOrStartsOver() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"kept_changes\":3")) {
            List<LogPosition> positions = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                positions.add(
                        control.publish(SubmissionBuilder.of("id-" + i).tenant("gold", i).build()));
            }
            assertEquals(
                    List.of(4L, 5L, 6L),
                    versions(page(control.get(changes(positions.get(2), "")))));
            HttpResponse<String> old = control.get(changes(positions.get(1), "&wait_ms=10000"));
            assertEquals(410, old.statusCode());
            String log = positions.get(0).log();
            assertEquals(
                    new VersionUnavailable(log, 4, 6),
                    ResourceCodec.readVersionUnavailable(old.body().getBytes(UTF_8)));
            HttpResponse<String> other =
                    control.get(changes(new LogPosition("other", 5), "&wait_ms=10000"));
            assertEquals(
                    new VersionUnavailable(log, 4, 6),
                    ResourceCodec.readVersionUnavailable(other.body().getBytes(UTF_8)));
            HttpResponse<String> ahead = control.get(changes(new LogPosition(log, 7), ""));
            assertRejected(503, "behind", ahead);
            assertEquals(Optional.of("1"), ahead.headers().firstValue("Retry-After"));
        }
    }

    @Test
    void restart_beginsANewLog() throws Exception {
        int port = RunningControl.freePort();
        LogPosition before;
        try (RunningControl control = RunningControl.serving(folder, port, "")) {
            before = control.publish(SubmissionBuilder.of("a").tenant("gold", 1).build());
            control.kill();
        }
        try (RunningControl control = RunningControl.serving(folder, port, "")) {
            LogPosition after =
                    control.publish(SubmissionBuilder.of("b").tenant("gold", 2).build());
            assertEquals(before.version(), after.version());
            assertEquals(410, control.get(changes(before, "&wait_ms=10000")).statusCode());
        }
    }

    @Test
    void pagesTakenDuringChangesPlusChanges_giveTheState() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            SubmissionBuilder first = SubmissionBuilder.of("first").service("checkout");
            for (int i = 0; i < 300; i++) {
                first.server("s-" + i, "checkout").tenant("t-" + i, i);
            }
            control.publish(first.build());
            Map<ResourceKey, Resource> copy = new TreeMap<>();
            Optional<LogPosition> begin = Optional.empty();
            Optional<ResourceKey> from = Optional.empty();
            int pages = 0;
            do {
                String query =
                        "?max_bytes=8000"
                                + begin.map(at -> "&log=" + at.log()).orElse("")
                                + from.map(key -> "&from=" + key.path()).orElse("");
                SnapshotPage page =
                        ResourceCodec.readSnapshotPage(
                                control.get("/control/v1/snapshot" + query).body().getBytes(UTF_8));
                begin = Optional.of(begin.orElse(page.at()));
                page.resources().forEach(each -> copy.put(each.key(), each));
                from = page.next();
                control.publish(
                        SubmissionBuilder.of("meanwhile-" + pages)
                                .delete(ResourceKind.SERVER, "s-" + pages)
                                .server("new-" + pages, "checkout")
                                .tenant("t-" + pages, 1_000)
                                .build());
                pages++;
            } while (from.isPresent());
            assertTrue(pages > 5, "pages: " + pages);
            for (Change change : page(control.get(changes(begin.orElseThrow(), ""))).changes()) {
                change.deletes().forEach(delete -> copy.remove(delete.key()));
                change.puts()
                        .forEach(
                                put ->
                                        copy.put(
                                                put.key(),
                                                new Resource(
                                                        put.key(), change.version(), put.value())));
            }
            SnapshotPage whole =
                    ResourceCodec.readSnapshotPage(
                            control.get("/control/v1/snapshot?max_bytes=524288")
                                    .body()
                                    .getBytes(UTF_8));
            assertEquals(Optional.empty(), whole.next());
            assertEquals(whole.resources(), List.copyOf(copy.values()));
        }
    }

    @Test
    void submission_isAcceptedOnceAndAnInvalidOneNamesItsErrors() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            String tenant =
                    "{\"id\":\"x\",\"put\":[{\"kind\":\"tenant\",\"name\":\"gold\",\"value\":"
                            + "{\"requests_per_second\":RATE}}]}";
            HttpResponse<String> accepted = control.post(tenant.replace("RATE", "3"));
            assertEquals(200, accepted.statusCode());
            assertEquals(accepted.body(), control.post(tenant.replace("RATE", "4")).body());
            assertEquals(1, control.position().version());
            HttpResponse<String> bad =
                    control.post(tenant.replace("\"x\"", "\"y\"").replace("RATE", "-3"));
            assertEquals(400, bad.statusCode());
            FieldError error = ResourceCodec.readErrors(bad.body().getBytes(UTF_8)).get(0);
            assertEquals("put[0].value.requests_per_second", error.key());
            assertEquals("-3", error.value());
            HttpResponse<String> unfit =
                    control.post(
                            new String(
                                    ResourceCodec.write(
                                            SubmissionBuilder.of("z")
                                                    .server("s-1", "none")
                                                    .build()),
                                    UTF_8));
            assertEquals(400, unfit.statusCode());
            assertEquals(
                    "put[0].value.service",
                    ResourceCodec.readErrors(unfit.body().getBytes(UTF_8)).get(0).key());
            assertEquals(1, control.position().version());
        }
    }

    @Test
    void invalidRequests_areRejectedInOneLine() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            assertRejected(404, "no such call", control.get("/control/v2/changes"));
            assertRejected(404, "no such call", control.get("/"));
            assertRejected(400, "log is missing", control.get(CHANGES + "?after=0"));
            assertRejected(400, "after is missing", control.get(CHANGES + "?log=a"));
            assertRejected(
                    400, "after is a whole number", control.get(CHANGES + "?log=a&after=-1"));
            assertRejected(
                    400, "after is a whole number", control.get(CHANGES + "?log=a&after=1e3"));
            assertRejected(
                    400,
                    "wait_ms is a whole number",
                    control.get(CHANGES + "?log=a&after=0&wait_ms=10001"));
            assertRejected(
                    400,
                    "max_bytes is",
                    control.get(CHANGES + "?log=a&after=0&max_bytes=999999999"));
            assertRejected(
                    400, "services is", control.get(CHANGES + "?log=a&after=0&services=a,,b"));
            assertRejected(400, "node is", control.get(CHANGES + "?log=a&after=0&node=%0a%0dx"));
            assertRejected(400, "from is", control.get("/control/v1/snapshot?from=server"));
            assertRejected(400, "from is", control.get("/control/v1/snapshot?from=sever/a"));
            assertRejected(400, "no JSON", control.post("{\"id\":"));
            assertRejected(400, "no JSON", control.post("[".repeat(100_000)));
            assertRejected(400, "id", control.post("{}"));
            assertRejected(413, "262144 bytes", control.post("x".repeat(300_000)));
            assertEquals(0, control.position().version());
        }
    }

    private static String raw(RunningControl control, String request) throws IOException {
        try (Socket socket = control.connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readToEnd(socket);
        }
    }

    private static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(read);
        } catch (SocketException e) {
            // A connection that is closed with something unread ends as a reset.
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    @Test
    void malformedRequest_isRejectedAndItsConnectionClosed() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            assertTrue(raw(control, "nonsense\r\n\r\n").startsWith("HTTP/1.0 400"));
            assertTrue(raw(control, "GET / nonsense\r\n\r\n").startsWith("HTTP/1.0 400"));
            assertTrue(
                    raw(control, "GET /" + "a".repeat(70_000) + " HTTP/1.1\r\n\r\n")
                            .contains(" 414 "));
            assertTrue(
                    raw(control, "GET / HTTP/1.1\r\nX: " + "a".repeat(20_000) + "\r\n\r\n")
                            .contains(" 431 "));
            assertTrue(
                    raw(
                                    control,
                                    "GET /control/v1/status HTTP/1.1\r\n"
                                            + "Content-Length: 5\r\n\r\nhello")
                            .startsWith("HTTP/1.1 400"));
            assertTrue(
                    raw(control, "PUT /control/v1/changes HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                            .startsWith("HTTP/1.1 404"));
            assertTrue(
                    raw(
                                    control,
                                    "POST /control/v1/changes HTTP/1.1\r\n"
                                            + "Content-Length: 99999999\r\n\r\n")
                            .startsWith("HTTP/1.1 413"));
            assertTrue(
                    raw(control, "POST /control/v1/changes HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                            .startsWith("HTTP/1.1 400"));
            String chunk = "20000\r\n" + "x".repeat(0x20000) + "\r\n";
            assertTrue(
                    raw(
                                    control,
                                    "POST /control/v1/changes HTTP/1.1\r\n"
                                            + "Transfer-Encoding: chunked\r\n\r\n"
                                            + chunk.repeat(3)
                                            + "0\r\n\r\n")
                            .startsWith("HTTP/1.1 413"));
            assertEquals(200, control.get("/control/v1/status").statusCode());
        }
    }

    @Test
    void pendingPolls_areLimited() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"waiting_polls\":2")) {
            LogPosition at = control.publish(SubmissionBuilder.of("a").tenant("gold", 1).build());
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                calls.add(control.getLater(changes(at, "&wait_ms=10000&node=n" + i)));
            }
            control.await(
                    "one turned away", () -> calls.stream().anyMatch(CompletableFuture::isDone));
            CompletableFuture<HttpResponse<String>> rejected =
                    calls.stream().filter(CompletableFuture::isDone).findFirst().orElseThrow();
            assertRejected(503, "busy", rejected.get());
            control.publish(SubmissionBuilder.of("b").tenant("gold", 2).build());
            calls.remove(rejected);
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals(List.of(2L), versions(page(call.get())));
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
                    "room again",
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
            long asked = System.nanoTime();
            page(control.get(changes(at, "&wait_ms=2500")));
            assertTrue(System.nanoTime() - asked >= TimeUnit.MILLISECONDS.toNanos(2_500));
        }
    }

    @Test
    void slowReader_isDisconnected() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"slow_reader_ms\":300")) {
            publishMuch(control);
            try (Socket slow = new Socket()) {
                slow.setReceiveBufferSize(4_096);
                slow.connect(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(),
                                Integer.parseInt(control.address().split(":")[1])));
                slow.getOutputStream()
                        .write(
                                "GET /control/v1/snapshot?max_bytes=524288 HTTP/1.1\r\n\r\n"
                                        .getBytes(UTF_8));
                control.await(
                        "closed",
                        () -> {
                            try {
                                // Writing to a connection that the other side has closed fails.
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

    private static void publishMuch(RunningControl control) throws Exception {
        for (int change = 0; change < 8; change++) {
            SubmissionBuilder tenants = SubmissionBuilder.of("much-" + change);
            for (int i = 0; i < 500; i++) {
                tenants.tenant("t-" + change + "-" + i, i);
            }
            control.publish(tenants.build());
        }
    }

    @Test
    void pipeliningWithoutReading_isBackpressured() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, ",\"slow_reader_ms\":60000")) {
            publishMuch(control);
            String call = "GET /control/v1/snapshot?max_bytes=524288 HTTP/1.1\r\n\r\n";
            byte[] calls = call.repeat(1_000).getBytes(UTF_8);
            long most = 64 << 20;
            try (Socket flood = control.connect()) {
                Thread writer = new Thread(() -> writeUpTo(flood, calls, most));
                writer.start();
                // What is not read any more holds the writer up: this much doesn't fit into
                // buffers.
                writer.join(TimeUnit.SECONDS.toMillis(3));
                assertTrue(writer.isAlive(), "all was read");
                assertEquals(200, control.get("/control/v1/status").statusCode());
            }
        }
    }

    private static void writeUpTo(Socket socket, byte[] part, long most) {
        try {
            OutputStream out = socket.getOutputStream();
            for (long written = 0; written < most; written += part.length) {
                out.write(part);
            }
        } catch (IOException e) {
            // Closed at the end of the test.
        }
    }

    @Test
    void status_showsTheNodesReports() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition at = control.publish(SubmissionBuilder.of("a").tenant("gold", 1).build());
            control.get(changes(at, "&node=n1&region=r1&in_force=1"));
            control.get(changes(at, "&node=n2&region=r2&in_force=0&refused=1"));
            String status = control.get("/control/v1/status").body();
            assertTrue(
                    status.contains(
                            "\"name\":\"c1\",\"log\":\""
                                    + at.log()
                                    + "\",\"version\":1,\"oldest\":1,\"role\":\"leader\""),
                    status);
            assertTrue(
                    status.contains(
                            "{\"name\":\"n1\",\"region\":\"r1\",\"log\":\""
                                    + at.log()
                                    + "\",\"in_force\":1,\"refused\":0,\"heard_ms\":"),
                    status);
            assertTrue(status.contains("\"in_force\":0,\"refused\":1"), status);
        }
    }

    @Test
    void termination_completesPendingPolls() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition at = control.publish(SubmissionBuilder.of("a").service("checkout").build());
            CompletableFuture<HttpResponse<String>> waiting =
                    control.getLater(changes(at, "&wait_ms=10000&services=checkout&node=n1"));
            control.await(
                    "heard",
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
