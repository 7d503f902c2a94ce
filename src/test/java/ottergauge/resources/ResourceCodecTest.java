// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.ResourceValue.Tenant;

class ResourceCodecTest {

    private static final String SERVER_VALUE =
            "{\"service\":\"checkout\",\"dial\":\"10.0.0.1:80\",\"health\":\"in_service\"}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static ResourceKey key(ResourceKind kind, String name) {
        return new ResourceKey(kind, name);
    }

    private static Change serverChange() {
        DiscoveredEndpoint host =
                new DiscoveredEndpoint(
                        "s-1",
                        new Address("10.0.0.1", 80),
                        "a",
                        "m2",
                        3,
                        EndpointState.DRAINING,
                        1.5,
                        7);
        return new Change(
                119,
                List.of(
                        new Change.Put(
                                key(ResourceKind.SERVER, "s-1"), new Server("checkout", host))),
                List.of(new Change.Delete(key(ResourceKind.TENANT, "t"), "")));
    }

    @Test
    void changePage_hasTheDocumentedForm() {
        assertEquals(
                "{\"log\":\"9f3c\",\"version\":120,\"changes\":[{\"version\":119,\"put\":[{"
                    + "\"kind\":\"server\",\"name\":\"s-1\",\"value\":{\"service\":\"checkout\","
                    + "\"dial\":\"10.0.0.1:80\",\"site\":\"a\","
                    + "\"class\":\"m2\",\"block\":3,\"health\":\"terminating\","
                    + "\"share\":1.5,\"born_ms\":7}}],"
                    + "\"delete\":[{\"kind\":\"tenant\",\"name\":\"t\",\"service\":\"\"}]}]}",
                text(
                        ResourceCodec.write(
                                new ChangePage(
                                        new LogPosition("9f3c", 120), List.of(serverChange())))));
    }

    @Test
    void snapshotPage_hasTheDocumentedForm() {
        Resource tenant =
                new Resource(key(ResourceKind.TENANT, "t/1"), 77, new Tenant(2.5, 4, 6, 1));
        assertEquals(
                "{\"log\":\"9f3c\",\"version\":120,\"resources\":[{\"kind\":\"tenant\",\"name\":\"t/1\","
                    + "\"version\":77,\"value\":{\"requests_per_second\":2.5,"
                    + "\"burst\":4.0,\"open_requests\":6,"
                    + "\"weight\":1.0}}],\"next\":\"tenant/t/2\"}",
                text(
                        ResourceCodec.write(
                                new SnapshotPage(
                                        new LogPosition("9f3c", 120),
                                        List.of(tenant),
                                        Optional.of(key(ResourceKind.TENANT, "t/2"))))));
    }

    @Test
    void otherResponses_haveTheDocumentedForm() {
        assertEquals(
                "{\"error\":\"too_old\",\"log\":\"9f3c\",\"oldest\":80,\"version\":120}",
                text(ResourceCodec.write(new VersionUnavailable("9f3c", 80, 120))));
        assertEquals(
                "{\"log\":\"9f3c\",\"version\":121}",
                text(ResourceCodec.write(new LogPosition("9f3c", 121))));
        assertEquals(
                "{\"error\":\"invalid\",\"faults\":[{\"key\":\"put[0].value.requests_per_second\","
                        + "\"value\":\"-3\","
                        + "\"allowed\":\"a number from 0 on\"}]}",
                text(
                        ResourceCodec.writeErrors(
                                List.of(
                                        new FieldError(
                                                "put[0].value.requests_per_second",
                                                "-3",
                                                "a number from 0 on")))));
    }

    @Test
    void singleValue_isWrittenAsInAnEntry() {
        String page =
                text(
                        ResourceCodec.write(
                                new ChangePage(
                                        new LogPosition("9f3c", 120), List.of(serverChange()))));
        String value = text(ResourceCodec.write(serverChange().puts().get(0).value()));
        assertTrue(page.contains("\"name\":\"s-1\",\"value\":" + value + "}]"), value);
    }

    @Test
    void unknownFields_areIgnored() throws ProtocolException {
        ChangePage page =
                ResourceCodec.readChangePage(
                        bytes(
                                "{\"later\":{\"a\":[1,{}]},"
                                        + "\"changes\":[{\"version\":1,"
                                        + "\"put\":[{\"kind\":\"tenant\",\"name\":\"t\","
                                        + "\"value\":{\"later\":[],\"burst\":2},\"why\":1}]}],"
                                        + "\"log\":\"l\",\"version\":1,\"also\":\"x\"}"));
        assertEquals(
                List.of(
                        new Change(
                                1,
                                List.of(
                                        new Change.Put(
                                                key(ResourceKind.TENANT, "t"),
                                                new Tenant(0, 2, 0, 1))),
                                List.of())),
                page.changes());
    }

    @Test
    void unreadableChange_leavesTheOthersOfItsPage() throws ProtocolException {
        ChangePage page =
                ResourceCodec.readChangePage(
                        bytes(
                                "{\"log\":\"l\",\"version\":9,\"changes\":["
                                    + "{\"version\":1,\"put\":[{\"kind\":\"tenant\","
                                    + "\"name\":\"t\",\"value\":{}}]},"
                                    + "{\"version\":2,\"put\":[{\"kind\":\"tenant\","
                                    + "\"name\":\"t\",\"value\":{}},"
                                    + "{\"kind\":\"star\",\"name\":\"t\",\"value\":{}}]},"
                                    + "{\"version\":3,\"put\":[{\"kind\":\"tenant\","
                                    + "\"name\":\"t\",\"value\":{\"burst\":-1}}]},"
                                    + "{\"version\":4,\"put\":7},"
                                    + "{\"version\":5,\"delete\":[{\"kind\":\"tenant\",\"name\":\"t\"}]}]}"));
        assertEquals(List.of(1L, 5L), page.changes().stream().map(Change::version).toList());
        assertEquals(
                List.of(2L, 3L, 4L),
                page.unreadable().stream().map(UnreadableChange::version).toList());
        assertEquals(
                "put[1].kind is service, server, route, tenant or settings, not star",
                page.unreadable().get(0).error().toString());
        assertEquals(
                "put[0].value.burst is a number from 0 to 1000000000, not -1",
                page.unreadable().get(1).error().toString());
    }

    @Test
    void unreadableEntryOfSnapshot_leavesTheOthersOfItsPage() throws ProtocolException {
        SnapshotPage page =
                ResourceCodec.readSnapshotPage(
                        bytes(
                                "{\"log\":\"l\",\"version\":9,\"resources\":["
                                    + "{\"kind\":\"tenant\",\"name\":\"t\",\"version\":3,\"value\":{}},"
                                    + "{\"kind\":\"tenant\",\"name\":\"u\",\"version\":3,"
                                    + "\"value\":{\"weight\":\"much\"}},"
                                    + "{\"kind\":\"star\",\"name\":\"u\",\"version\":3,\"value\":{}}]}"));
        assertEquals(1, page.resources().size());
        assertEquals(
                List.of(Optional.of(key(ResourceKind.TENANT, "u")), Optional.empty()),
                page.unreadable().stream().map(UnreadableResource::key).toList());
        assertEquals(
                "resources[1].value.weight is a number, not much",
                page.unreadable().get(0).error().toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "7",
                "{",
                "{}",
                "{\"log\":\"l\",\"version\":1}",
                "{\"log\":\"l\",\"version\":1.5,\"changes\":[]}",
                "{\"log\":\"l\",\"version\":-1,\"changes\":[]}",
                "{\"log\":\"l\",\"version\":9007199254740994,\"changes\":[]}",
                "{\"log\":\"l\",\"version\":1e999,\"changes\":[]}",
                "{\"log\":\"l l\",\"version\":1,\"changes\":[]}",
                "{\"log\":\"\",\"version\":1,\"changes\":[]}",
                "{\"log\":\"l\",\"version\":1,\"changes\":{}}",
                "{\"log\":\"l\",\"version\":1,\"changes\":[7]}",
                "{\"log\":\"l\",\"version\":1,\"changes\":[{}]}",
                "{\"log\":\"l\",\"log\":\"l\",\"version\":1,\"changes\":[]}",
                "{\"log\":\"l\",\"version\":1,\"changes\":[]}{}",
                "{\"log\":\"l\",\"version\":1,\"changes\":[]",
                "{\"log\":\"l\",\"version\":1,\"changes\":[{\"version\":1,\"put\":[],\"put\":[]}]}"
            })
    void malformedChangePage_isRejected(String body) {
        assertThrows(ProtocolException.class, () -> ResourceCodec.readChangePage(bytes(body)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"log\":\"l\",\"version\":1}",
                "{\"log\":\"l\",\"version\":1,\"resources\":[],\"next\":\"star/a\"}",
                "{\"log\":\"l\",\"version\":1,\"resources\":[],\"next\":\"server\"}",
                "{\"log\":\"l\",\"version\":1,\"resources\":[],\"next\":\"server/a b\"}",
                "{\"log\":\"l\",\"version\":1,\"resources\":[],\"next\":7}"
            })
    void malformedSnapshotPage_isRejected(String body) {
        assertThrows(ProtocolException.class, () -> ResourceCodec.readSnapshotPage(bytes(body)));
    }

    private static List<String> errors(String entry) {
        InvalidSubmissionException rejection =
                assertThrows(
                        InvalidSubmissionException.class,
                        () ->
                                ResourceCodec.readSubmission(
                                        bytes("{\"id\":\"i\",\"put\":[" + entry + "]}")));
        assertEquals(rejection.getMessage(), rejection.errors().get(0).toString());
        return rejection.errors().stream().map(FieldError::key).toList();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "tenant | {\"requests_per_second\":-3}                  | requests_per_second",
                "tenant | {\"requests_per_second\":\"3\"}               | requests_per_second",
                "tenant | {\"requests_per_second\":1e10}                | requests_per_second",
                "tenant | {\"burst\":1e999}                             | burst",
                "tenant | {\"open_requests\":1.5}                       | open_requests",
                "tenant | {\"open_requests\":1000001}                   | open_requests",
                "tenant | {\"weight\":[]}                               | weight",
                "service | {\"description\":7}                          | description",
                "service | {\"description\":\"a\\nb\"}                  | description",
                "service | {\"description\":\"\\ud800\"}                | description",
                "route | {\"service\":\"s\",\"path_prefix\":\"a\",\"request_class\":\"c\"}    |"
                        + " path_prefix",
                "route | {\"service\":\"s\",\"path_prefix\":\"/a?b\",\"request_class\":\"c\"} |"
                        + " path_prefix",
                "route | {\"service\":\"s\",\"path_prefix\":\"/\"}                            |"
                        + " request_class",
                "route | {\"service\":\"s s\",\"path_prefix\":\"/\",\"request_class\":\"c\"}  |"
                        + " service",
                "server | {\"dial\":\"10.0.0.1:80\",\"health\":\"in_service\"}                |"
                        + " service",
                "server | {\"service\":\"s\",\"dial\":\"host:80\",\"health\":\"in_service\"}  |"
                        + " dial",
                "server | {\"service\":\"s\",\"dial\":\"10.0.0.256:80\",\"health\":\"in_service\"}"
                        + " | dial",
                "server | {\"service\":\"s\",\"dial\":\"10.0.0.1:0\",\"health\":\"in_service\"} |"
                        + " dial",
                "server | {\"service\":\"s\",\"dial\":7,\"health\":\"in_service\"}            |"
                        + " dial",
                "server | {\"service\":\"s\",\"dial\":\"10.0.0.1:80\",\"health\":\"fine\"}    |"
                        + " health",
                "settings | {\"roundMs\":1}                              | classes",
                "settings | {\"classes\":[]}                             | classes",
                "settings | {\"classes\":[7]}                            | classes[0]",
                "settings | {\"classes\":[{\"name\":\"a\"},{\"name\":\"a\"}]}            |"
                        + " classes[1].name",
                "settings | {\"classes\":[{\"name\":\"a\",\"hardLimitMs\":\"900\"}]}     |"
                        + " classes[0].hardLimitMs",
                "settings | {\"classes\":[{\"name\":\"a\",\"hardLimitMs\":1e300}]}       |"
                        + " classes[0].hardLimitMs",
                "settings | {\"classes\":[{\"name\":\"a\",\"streamed\":1}]}              |"
                        + " classes[0].streamed",
                "settings | {\"classes\":[{\"name\":\"a\"}],\"ceilings\":7}              |"
                        + " ceilings",
                "settings | {\"classes\":[{\"name\":\"a\"}],\"rules\":{\"coldFrom\":\"x\"}}  |"
                        + " rules.coldFrom",
                "settings | {\"classes\":[{\"name\":\"a\"}],\"roundMs\":0}               | roundMs",
                "settings | {\"classes\":[{\"name\":\"a\"}],\"other\":[1e999]}           | other[0]"
            })
    void invalidValue_isReportedByItsField(String kind, String value, String key) {
        assertEquals(
                "put[0].value." + key,
                errors("{\"kind\":\"" + kind + "\",\"name\":\"n\",\"value\":" + value + "}")
                        .get(0));
    }

    @Test
    void invalidSubmission_reportsAllErrors() {
        assertEquals(
                List.of(
                        "put[0].name",
                        "put[1].kind",
                        "put[2].value",
                        "put[3]",
                        "put[4].value.burst",
                        "put[4].value.weight"),
                errors(
                        "{\"kind\":\"tenant\",\"name\":\"a b\",\"value\":{}},"
                            + "{\"kind\":\"x\",\"name\":\"n\"},{\"kind\":\"tenant\",\"name\":\"n\"},7,"
                            + "{\"kind\":\"tenant\",\"name\":\"n\",\"value\":{\"burst\":-2,\"weight\":-1}}"));
    }

    @Test
    void duplicateResourceInAChange_isAnError() {
        String tenant = "{\"kind\":\"tenant\",\"name\":\"n\",\"value\":{}}";
        assertEquals(List.of("put[1]"), errors(tenant + "," + tenant));
        Change twice =
                new Change(
                        1,
                        List.of(
                                new Change.Put(
                                        key(ResourceKind.TENANT, "n"), new Tenant(0, 0, 0, 1))),
                        List.of(new Change.Delete(key(ResourceKind.TENANT, "n"), "")));
        assertEquals(
                "delete[0] is a resource that the change has no other entry of, not tenant n again",
                ResourceValidator.firstError(twice).orElseThrow().toString());
    }

    @Test
    void submissionOverItsLimits_isRejected() throws ProtocolException {
        List<Change.Put> puts = new ArrayList<>();
        for (int i = 0; i < ResourceValidator.MAX_ENTRIES; i++) {
            puts.add(new Change.Put(key(ResourceKind.TENANT, "t-" + i), new Tenant(0, 0, 0, 1)));
        }
        Submission largest = new Submission("i", List.copyOf(puts), List.of());
        assertEquals(largest, ResourceCodec.readSubmission(ResourceCodec.write(largest)));
        puts.add(new Change.Put(key(ResourceKind.TENANT, "one-more"), new Tenant(0, 0, 0, 1)));
        assertEquals(
                "put is 1000 entries at most, with those of delete, not 1001 entries",
                assertThrows(
                                InvalidSubmissionException.class,
                                () ->
                                        ResourceCodec.readSubmission(
                                                ResourceCodec.write(
                                                        new Submission("i", puts, List.of()))))
                        .getMessage());
        byte[] tooLong = bytes(" ".repeat(ResourceCodec.MAX_SUBMISSION_BYTES) + "{}");
        assertTrue(
                assertThrows(ProtocolException.class, () -> ResourceCodec.readSubmission(tooLong))
                        .getMessage()
                        .contains("262144 are allowed"));
    }

    @Test
    void nestingOverTheLimit_isRejected() {
        String deep = "[".repeat(40) + "]".repeat(40);
        assertTrue(
                assertThrows(
                                ProtocolException.class,
                                () ->
                                        ResourceCodec.readSubmission(
                                                bytes("{\"id\":\"i\",\"x\":" + deep + "}")))
                        .getMessage()
                        .contains("nesting depth"));
    }

    @Test
    void errors_areLimitedToAHundred() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            entries.add("7");
        }
        assertEquals(100, errors(String.join(",", entries)).size());
    }

    @Test
    void fieldError_isOneShortLine() {
        FieldError error = new FieldError("a\nb", "x".repeat(1000), "short");
        assertEquals("a?b", error.key());
        assertEquals(83, error.value().length());
    }

    @Test
    void serverValue_isReadWithDefaults() throws ProtocolException {
        Submission read =
                ResourceCodec.readSubmission(
                        bytes(
                                "{\"id\":\"i\",\"put\":[{\"kind\":\"server\","
                                        + "\"name\":\"s-1\",\"value\":"
                                        + SERVER_VALUE
                                        + "}]}"));
        assertEquals(
                new Server(
                        "checkout",
                        new DiscoveredEndpoint(
                                "s-1",
                                new Address("10.0.0.1", 80),
                                null,
                                null,
                                0,
                                EndpointState.UP,
                                1,
                                0)),
                read.puts().get(0).value());
    }
}
