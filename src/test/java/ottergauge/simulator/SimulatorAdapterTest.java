// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the adapter with messages in the simulator's JSON format. */
class SimulatorAdapterTest {

    private static final String CONFIG =
            "{\"balancers\":2,\"ceilings\":{\"cancel\":true,\"maxAttempts\":3,"
                + "\"retryAfter\":true,\"maxRetryAfterMs\":600.0,\"unheardOf\":{\"a\":[1,null]}},"
                + "\"classes\":[{\"name\":\"work\",\"aimMs\":400.0,\"hardLimitMs\":1000.0,"
                + "\"semantics\":\"free\"}],"
                + "\"registryMode\":\"pushed\",\"zone\":\"a\",\"zones\":[\"a\"],\"kinds\":[\"k\"],\"me\":0,"
                + "\"rules\":{\"answerSlackMs\":5.0,\"coldMs\":1000.0,\"coldFrom\":0.5,\"fallMs\":1000.0}}";
    private static final String LIST =
            "{\"msg\":\"Ledger\",\"rosterId\":3,\"entries\":["
                    + "{\"server\":4294967295,\"dc\":\"a\",\"generationHw\":\"k\",\"cohort\":0,"
                    + "\"availability\":\"on\",\"nominal\":1,\"sinceMs\":null,"
                    + "\"new\":{}}]},{\"msg\":\"BackendsChanged\",\"mode\":\"C\","
                    + "\"generation\":1,\"rosterId\":3}";

    private static String start(String seed) {
        return "{\"msg\":\"Start\",\"nonce64\":" + seed + ",\"config\":" + CONFIG + "}," + LIST;
    }

    private static String batch(double at, String... parts) {
        return "{\"simTimeMs\":" + at + ",\"parts\":[" + String.join(",", parts) + "]}\n";
    }

    private static String part(int engine, String... messages) {
        return "{\"nodeId\":" + engine + ",\"inbox\":[" + String.join(",", messages) + "]}";
    }

    private static String query(String id, double giveUpAt) {
        return "{\"msg\":\"Query\",\"msgId\":\""
                + id
                + "\",\"project\":0,\"giveUpAtMs\":"
                + giveUpAt
                + ",\"pathKey\":\"91f03b7c55d20a64\",\"qos\":\"work\",\"attrs\":0}";
    }

    private static List<String> run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out)
                .run();
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals(List.of("{\"parts\":[]}", "{\"parts\":[]}"), run(batch(1, "") + batch(1, "")));
    }

    @Test
    void endOfInputEndsTheRun() throws IOException {
        assertEquals(List.of(), run(""));
    }

    @Test
    void requestIsForwarded() throws IOException {
        List<String> replies = run(batch(10, part(7, start("1"), query("rq_a", 1010))));
        assertTrue(
                replies.get(0)
                        .contains(
                                "{\"msg\":\"PassOn\",\"msgId\":\"rq_a\",\"server\":4294967295,"
                                        + "\"limitMs\":"),
                replies.get(0));
        assertTrue(
                replies.get(0).startsWith("{\"parts\":[{\"nodeId\":7,\"cmds\":["), replies.get(0));
    }

    @Test
    void orderOfKeysDoesNotMatterAndUnknownKeysAreSkipped() throws IOException {
        String input =
                "{\"x\":[{}],\"parts\":[{\"inbox\":["
                        + start("5")
                        + ",{\"attrs\":0,\"qos\":\"work\",\"y\":{\"z\":1},\"giveUpAtMs\":900.5,"
                        + "\"msgId\":\"rq_b\",\"msg\":\"Query\"}],"
                        + "\"nodeId\":0}],\"simTimeMs\":3.5}\n";
        assertTrue(run(input).get(0).contains("\"msg\":\"PassOn\",\"msgId\":\"rq_b\""));
    }

    @Test
    void rejectionIsWrittenAsOverloadReply() throws IOException {
        String empty =
                "{\"msg\":\"Ledger\",\"rosterId\":3,\"entries\":[]},"
                    + "{\"msg\":\"BackendsChanged\",\"mode\":\"F\",\"generation\":2,\"rosterId\":3}";
        List<String> replies =
                run(
                        batch(10, part(0, start("1"), empty, query("rq_a", 1010)))
                                + batch(2000, part(0, "{\"msg\":\"Due\",\"nonce\":\"tick\"}")));
        assertTrue(
                replies.get(1)
                        .contains(
                                "{\"msg\":\"OverloadReply\",\"msgId\":\"rq_a\","
                                        + "\"retryAfterMs\":600.0}"),
                replies.get(1));
    }

    @Test
    void seedsAboveTheSignedRangeAreAccepted() throws IOException {
        assertEquals(1, run(batch(1, part(0, start("18446744073709551615")))).size());
    }

    @Test
    void engineMayStopAndStartInOneBatchAndTableNumbersAreReused() throws IOException {
        List<String> replies =
                run(
                        batch(1, part(0, start("1"), query("rq_a", 900)))
                                + batch(
                                        2,
                                        part(
                                                0,
                                                "{\"msg\":\"Exit\"}",
                                                start("2"),
                                                query("rq_b", 900))));
        assertTrue(replies.get(1).contains("rq_b"));
        assertFalse(replies.get(1).contains("rq_a"));
    }

    @Test
    void unusualButValidEventsAreAccepted() throws IOException {
        String verdict =
                "{\"msg\":\"Verdict\",\"msgId\":\"rq_x\",\"last\":true,\"shot\":0,\"code\":\"CXL\","
                        + "\"server\":1,\"spentMs\":1.0,\"pressure\":null}";
        List<String> replies =
                run(
                        batch(
                                1,
                                part(
                                        0,
                                        start("1"),
                                        "{\"msg\":\"Aborted\",\"msgId\":\"rq_gone\"}",
                                        verdict,
                                        "{\"msg\":\"BackendsChanged\",\"mode\":\"X\","
                                                + "\"generation\":1,\"rosterId\":0}",
                                        "{\"msg\":\"NoteFrom\",\"neighbour\":1,\"payload\":\"00\"}",
                                        "{\"msg\":\"Echo\",\"code\":\"LATE\",\"server\":9,"
                                                + "\"spentMs\":1.0}")));
        assertFalse(replies.get(0).contains("Fault"), replies.get(0));
    }

    @Test
    void enginesActTheSameInSharedAndInSeparateBatches() throws IOException {
        StringBuilder sharedBatches = new StringBuilder();
        List<StringBuilder> separateBatches = List.of(new StringBuilder(), new StringBuilder());
        for (int i = 0; i < 50; i++) {
            List<String> parts = new ArrayList<>();
            for (int n = 0; n < 2; n++) {
                String query = query("rq_" + n + "_" + i, 1000 + i);
                parts.add(i == 0 ? part(n, start("" + (n + 3)), query) : part(n, query));
                separateBatches.get(n).append(batch(i, parts.get(n)));
            }
            sharedBatches.append(batch(i, parts.get(0), parts.get(1)));
        }
        List<String> both = run(sharedBatches.toString());
        for (int n = 0; n < 2; n++) {
            List<String> one = run(separateBatches.get(n).toString());
            for (int i = 0; i < 50; i++) {
                String own = one.get(i).substring("{\"parts\":[".length(), one.get(i).length() - 2);
                assertTrue(both.get(i).contains(own), both.get(i) + " lacks " + own);
            }
        }
    }

    @Test
    void undefinedReferencesAreNamed() {
        assertMessage("instance 4 was never started", batch(1, part(4, query("rq_a", 9))));
        assertMessage(
                "list 5 was never given",
                batch(
                        1,
                        part(
                                0,
                                start("1"),
                                "{\"msg\":\"BackendsChanged\",\"mode\":\"F\","
                                        + "\"generation\":1,\"rosterId\":5}")));
        assertMessage(
                "list number 16 is out of range",
                batch(1, part(0, "{\"msg\":\"Ledger\",\"rosterId\":16,\"entries\":[]}")));
        assertMessage(
                "unknown message Hello", batch(1, part(0, start("1"), "{\"msg\":\"Hello\"}")));
        assertMessage(
                "unknown class other",
                batch(1, part(0, start("1"), query("a", 9).replace("work", "other"))));
        assertMessage("a batch has no simTimeMs", "{\"parts\":[]}\n");
    }

    @Test
    void malformedInputIsRejected() {
        assertThrows(SimulatorFormatException.class, () -> run("{\"simTimeMs\":1,\"parts\":[\n"));
        assertThrows(SimulatorFormatException.class, () -> run("[]\n"));
        assertThrows(
                SimulatorFormatException.class, () -> run(batch(1, part(0, "{\"msgId\":\"a\"}"))));
    }

    private static void assertMessage(String message, String input) {
        assertEquals(
                message,
                assertThrows(SimulatorFormatException.class, () -> run(input)).getMessage());
    }
}
