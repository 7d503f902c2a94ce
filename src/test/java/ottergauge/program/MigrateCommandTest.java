// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;
import picocli.CommandLine;

class MigrateCommandTest {

    private static final String SHAPE =
            """
            {"balancers":98,"zones":["a","b"],"zone":"a","registryMode":"pushed","roundMs":5,
             "kinds":["m1","m2"],"reporting":{"how":"on_probe","fields":["outstanding"]}}
            """;

    @TempDir private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private Path file(String name, String content) throws IOException {
        return Files.writeString(folder.resolve(name), content);
    }

    private int migrate(String old, String shape, String... more) throws IOException {
        file("old.json", old);
        file("shape.json", shape);
        return new CommandLine(new Main())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(
                        Stream.concat(
                                        Stream.of(
                                                "migrate",
                                                folder.resolve("old.json").toString(),
                                                "--to",
                                                folder.resolve("shape.json").toString(),
                                                "--out",
                                                folder.resolve("new.json").toString()),
                                        Stream.of(more))
                                .toArray(String[]::new));
    }

    private static String configWithoutLeftovers() {
        return new TestConfig()
                .withAddresses("127.0.0.1:3000", "127.0.0.1:8500")
                .json()
                .replaceAll("\"known\":.*\n", "");
    }

    private List<String> files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void fileWithoutLeftoversIsWrittenAsTheNodeReadsIt() throws Exception {
        assertEquals(0, migrate(configWithoutLeftovers(), SHAPE), out + " " + err);
        NodeConfig config = NodeConfig.read(Files.readAllBytes(folder.resolve("new.json")));
        assertEquals(98, config.settings().decisions().nodeCount());
        assertEquals(5_000, config.settings().decisions().eventInterval());
        assertEquals(List.of("new.json", "old.json", "shape.json"), files());
    }

    @Test
    void leftoversArePrintedAndReportedByTheExitCode() throws Exception {
        assertEquals(
                3,
                migrate(
                        new TestConfig().withAddresses("127.0.0.1:3000", "127.0.0.1:8500").json(),
                        SHAPE));
        assertTrue(out.toString().contains("left over: known"), out.toString());
    }

    @Test
    void dryRunPrintsTheSameAndWritesNothing() throws Exception {
        String old = new TestConfig().withAddresses("127.0.0.1:3000", "127.0.0.1:8500").json();
        assertEquals(3, migrate(old, SHAPE, "--dry-run"));
        String printed = out.toString().replace("would write", "wrote");
        assertEquals(List.of("old.json", "shape.json"), files());
        out.getBuffer().setLength(0);
        migrate(old, SHAPE);
        assertEquals(printed, out.toString());
    }

    @Test
    void existingFileIsReplacedOnlyWithForce() throws Exception {
        file("new.json", "kept");
        assertEquals(2, migrate(configWithoutLeftovers(), SHAPE));
        assertEquals("kept", Files.readString(folder.resolve("new.json")));
        assertEquals(0, migrate(configWithoutLeftovers(), SHAPE, "--force"));
        assertTrue(Files.readString(folder.resolve("new.json")).contains("roundMs"));
    }

    @Test
    void invalidInputWritesNothingAndNamesFileAndError() throws Exception {
        String[][] bad = {
            {"{", SHAPE, "old.json"},
            {configWithoutLeftovers(), "[]", "shape.json"},
            {configWithoutLeftovers(), "{} {}", "shape.json"},
            {"{}", SHAPE, "settings"},
            {configWithoutLeftovers(), SHAPE.replace("\"roundMs\":5", "\"roundMs\":-5"), "roundMs"},
            {configWithoutLeftovers().replace("127.0.0.1:3000", "nowhere"), SHAPE, "nowhere"},
            {
                configWithoutLeftovers(),
                SHAPE.replace("\"balancers\":98", "\"balancers\":\"98\""),
                "balancers"
            },
            {
                configWithoutLeftovers(),
                SHAPE.replace("\"balancers\":98", "\"balancers\":0,\"me\":-1"),
                "balancers"
            },
        };
        for (String[] each : bad) {
            err.getBuffer().setLength(0);
            assertEquals(2, migrate(each[0], each[1]), each[2]);
            assertTrue(err.toString().contains(each[2]), err.toString());
            assertEquals(List.of("old.json", "shape.json"), files());
        }
        assertEquals(
                2, new CommandLine(new Main()).setErr(new PrintWriter(err)).execute("migrate"));
    }
}
