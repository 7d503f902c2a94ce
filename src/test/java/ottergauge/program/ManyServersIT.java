// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.host;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** The program as one of 1,024 nodes before 1,024 servers. */
@Timeout(120)
class ManyServersIT {

    private static final int MANY = 1024;
    private static final String NOWHERE = "127.0.0.1:1";
    // What the platform's days allow at the most; the settings of the test say so too.
    private static final long MEMORY_KB = 192 * 1024;

    @TempDir
    private Path folder;

    private static String[] all(String dial) {
        return IntStream.range(0, MANY).mapToObj(i -> host("server-of-some-longer-name-" + i, dial,
            "in_service")).toArray(String[]::new);
    }

    /** A line for each field and a blank after each colon, as a registry writes it for people to read. */
    private static String indented(String json) {
        return json.replace(",", ",\n        ").replace(":[", " : [\n    ").replace("\":", "\" : ");
    }

    /** Guards against a bound on lists below what 1,024 servers take, and a list that comes in odd pieces. */
    @Test
    void aListOf1024ServersIsReadIndentedInOddPiecesAndServedFrom() throws Exception {
        try (StubServer server = StubServer.obedient();
             StubServer discovery = new StubServer((request, connection) -> {
                 if (!request.target().contains("after=42")) {
                     byte[] answer = HttpMessage.response(200, "",
                         indented(TestConfig.list(42, true, all(server.address()))));
                     OutputStream out = connection.getOutputStream();
                     int piece = 1;
                     for (int at = 0; at < answer.length; at += piece, piece = piece * 5 % 16_381) {
                         out.write(answer, at, Math.min(piece, answer.length - at));
                         out.flush();
                     }
                 }
                 return true;
             });
             RunningNode node = RunningNode.ready(folder,
                 new TestConfig().fleet(MANY, 0.002).knows(all(NOWHERE)), discovery.address());
             Client client = node.client()) {
            assertTrue(discovery.requests.take().target().contains("after=41"));
            assertTrue(discovery.requests.take().target().contains("after=42"), "the list was not read");
            for (int i = 0; i < 100; i++) {
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            }
            String resident = Files.readAllLines(Path.of("/proc/" + node.process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM")).findFirst().orElseThrow();
            assertTrue(Long.parseLong(resident.replaceAll("\\D", "")) < MEMORY_KB, resident);
            assertEquals(0, node.log().lines().filter(line -> line.contains("ERROR")).count(), node.log());
        }
    }
}
