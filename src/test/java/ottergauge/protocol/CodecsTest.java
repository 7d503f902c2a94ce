// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;

class CodecsTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({
        "200,false,SERVED",
        "200,true,SERVED",
        "500,false,ERROR",
        "500,true,ERROR",
        "503,true,REJECTED",
        "504,true,REJECTED",
        "503,false,ERROR",
        "504,false,ERROR",
        "404,false,ERROR",
        "204,false,ERROR",
        "302,true,ERROR"
    })
    void ofResponse_only503And504MarkedNeverRanAreRejections(
            int status, boolean neverRan, AttemptResult expected) {
        assertEquals(expected, AttemptResults.ofResponse(status, neverRan));
    }

    @Test
    void loadReport_isReadWithEitherSetOfFieldNames() {
        LoadReport expected = new LoadReport(7, 2, 0.61, Double.NaN, Double.NaN);
        assertEquals(expected, LoadReportReader.read("TEXT inflight=7, queue=2, util=0.61"));
        assertEquals(
                expected,
                LoadReportReader.read("TEXT outstanding=7,backlog=2, x0=9, utilization=0.61"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "TEXT",
                "TEXT inflight",
                "TEXT inflight=many",
                "TEXT inflight=-1",
                "TEXT inflight=Infinity",
                "TEXT inflight=3, util",
                "TEXT inflight=1e300",
                "TEXT ?",
                "TEXT =,=",
                "JSON {\"inflight\":7}",
                "inflight=7"
            })
    void malformedLoadReport_isNone(String text) {
        assertEquals(LoadReport.NONE, LoadReportReader.read(text));
    }

    @Test
    void requestFields_areReadAndTheirTimeoutIsBounded() throws ProtocolException {
        Map<String, String> headers =
                Map.of(
                        "X-Trace-Id",
                        "9b1f",
                        "X-Qos",
                        "pay",
                        "X-Expires-In-Ms",
                        "480",
                        "X-Second-Try",
                        "1",
                        "Idempotency-Key",
                        "5c0f");
        assertEquals(
                new RequestFields("9b1f", "pay", 480, true, "5c0f"),
                RequestFields.read(headers::get));
        RequestFields bare = RequestFields.read(Map.of("X-Trace-Id", "9b1f", "X-Qos", "pay")::get);
        assertEquals(-1, bare.expiresInMs());
        assertNull(bare.idempotencyKey());
        assertEquals(0, expiry("0"));
        assertEquals(3_600_000, expiry("999999999999999999"));
    }

    private static long expiry(String text) throws ProtocolException {
        return RequestFields.read(
                        Map.of("X-Trace-Id", "9b1f", "X-Qos", "pay", "X-Expires-In-Ms", text)::get)
                .expiresInMs();
    }

    @Test
    void requestFieldsWithoutIdOrClassOrWithMalformedTimeout_areRejected() {
        assertThrows(
                ProtocolException.class, () -> RequestFields.read(Map.of("X-Qos", "pay")::get));
        assertThrows(
                ProtocolException.class,
                () -> RequestFields.read(Map.of("X-Trace-Id", "9b1f")::get));
        for (String text :
                List.of("soon", "", "-5", "+5", "4.5", "1e3", "0x10", "99999999999999999999")) {
            assertThrows(ProtocolException.class, () -> expiry(text), text);
        }
    }

    @Test
    void endpointList_isReadWithItsEndpoints() throws ProtocolException {
        EndpointList list =
                EndpointList.read(
                        bytes(
                                TestConfig.list(
                                        43,
                                        false,
                                        TestConfig.endpointJson(
                                                "s-1", "10.1.0.18:3000", "terminating"))));
        assertEquals(43, list.version());
        assertEquals(
                new DiscoveredEndpoint(
                        "s-1",
                        new Address("10.1.0.18", 3000),
                        "a",
                        "m2",
                        3,
                        EndpointState.DRAINING,
                        1.0,
                        0),
                list.endpoints().get(0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"seq\":1",
                "{\"seq\":1}",
                "{\"hosts\":[]}",
                "{\"seq\":-1,\"hosts\":[]}",
                "{\"seq\":1e300,\"hosts\":[]}",
                "{\"seq\":1,\"hosts\":[]}{\"seq\":2}",
                "{\"seq\":1,\"hosts\":[7]}",
                "{\"seq\":1,\"hosts\":[{}]}",
                "{\"seq\":1,\"hosts\":[{\"host\":\"s\",\"dial\":\"nowhere\",\"health\":\"in_service\"}]}",
                "{\"seq\":1,\"hosts\":[{\"host\":\"s\",\"dial\":\"10.0.0.1:99999\","
                        + "\"health\":\"in_service\"}]}",
                "{\"seq\":1,\"hosts\":[{\"host\":\"s\",\"dial\":\"10.0.0.1:80\",\"health\":\"fine\"}]}"
            })
    void malformedEndpointList_isRejected(String text) {
        assertThrows(ProtocolException.class, () -> EndpointList.read(bytes(text)));
    }

    @Test
    void configuration_containsSettingsAndTheNodesOwnValues() {
        NodeConfig config =
                new TestConfig()
                        .withEndpoints(
                                TestConfig.endpointJson("s-1", "10.1.0.18:3000", "in_service"))
                        .build();
        assertEquals("n1", config.name());
        assertEquals(new Address("127.0.0.1", 3000), config.listen());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(200_000, config.settings().connectTimeout());
        assertEquals(10_000_000, config.settings().serverIdleTimeout());
        assertEquals(10_000_000, config.settings().maxPollInterval());
        assertEquals(41, config.knownEndpoints().version());
        assertEquals(
                Idempotency.NON_IDEMPOTENT,
                config.settings().decisions().requestClasses().get(2).idempotency());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{\"settings\":{}}", "{\"listen\":\"127.0.0.1:1\"}"})
    void malformedConfiguration_isRejected(String text) {
        assertThrows(ProtocolException.class, () -> NodeConfig.read(bytes(text)));
    }

    @Test
    void malformedAddress_isNamedInTheMessage() {
        String bad = new TestConfig().withAddresses("nowhere", "127.0.0.1:1").json();
        ProtocolException e =
                assertThrows(ProtocolException.class, () -> NodeConfig.read(bytes(bad)));
        assertTrue(e.getMessage().contains("nowhere"), e.getMessage());
    }
}
