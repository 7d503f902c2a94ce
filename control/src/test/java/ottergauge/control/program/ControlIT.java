// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import ottergauge.control.log.SubmissionBuilder;
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

/** Tests polls, snapshots and submissions against the packaged jar, over loopback sockets. */
class ControlIT extends ControlITFixture {

    @Test
    void pendingPoll_receivesAChange() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            LogPosition begin =
                    control.publish(
                            SubmissionBuilder.of("a")
                                    .service("checkout")
                                    .service("search")
                                    .build());
            long startedNanos = System.nanoTime();
            CompletableFuture<HttpResponse<String>> waiting =
                    control.getLater(changes(begin, "&wait_ms=10000&services=checkout"));
            control.publish(SubmissionBuilder.of("b").server("s-1", "search").build());
            LogPosition second =
                    control.publish(SubmissionBuilder.of("c").server("s-2", "checkout").build());
            ChangePage page = page(waiting.get());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            assertEquals(List.of(second.version()), versions(page));
            assertTrue(elapsedMs < 9_000, "response only at the end of the wait: " + elapsedMs);
            assertEquals(List.of(), versions(page(control.get(changes(second, "")))));
        }
    }

    @Test
    void subscriber_resumesByVersionOrHasToFetchASnapshot() throws Exception {
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
    void restart_createsANewLog() throws Exception {
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
    void pagesReadDuringChangesPlusChanges_yieldTheState() throws Exception {
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
            SnapshotPage complete =
                    ResourceCodec.readSnapshotPage(
                            control.get("/control/v1/snapshot?max_bytes=524288")
                                    .body()
                                    .getBytes(UTF_8));
            assertEquals(Optional.empty(), complete.next());
            assertEquals(complete.resources(), List.copyOf(copy.values()));
        }
    }

    @Test
    void submission_isAcceptedOnceAndInvalidSubmissionNamesItsErrors() throws Exception {
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
            HttpResponse<String> unknownService =
                    control.post(
                            new String(
                                    ResourceCodec.write(
                                            SubmissionBuilder.of("z")
                                                    .server("s-1", "none")
                                                    .build()),
                                    UTF_8));
            assertEquals(400, unknownService.statusCode());
            assertEquals(
                    "put[0].value.service",
                    ResourceCodec.readErrors(unknownService.body().getBytes(UTF_8)).get(0).key());
            assertEquals(1, control.position().version());
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
}
