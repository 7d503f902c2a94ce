// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunLineTest {

    @Test
    void jvmFlags_areTheFlagsBeforeTheJarWithoutTheClassArchive() {
        RunLine run =
                new RunLine(
                        "exec java -XX:SharedArchiveFile=a.jsa -Xmx96m -XX:+UseSerialGC -jar a.jar "
                                + "serve --config x");
        assertEquals(List.of("-Xmx96m", "-XX:+UseSerialGC"), run.jvmFlags());
    }

    @Test
    void read_returnsTheRunCommandOfTheDeployFile() throws IOException {
        RunLine run = RunLine.read(Path.of(".."));
        assertTrue(run.command().startsWith("exec java "), run.command());
        assertTrue(run.jvmFlags().contains("-XX:+UseSerialGC"), run.jvmFlags().toString());
    }

    @Test
    void read_fileWithoutARunCommandFails(@TempDir Path root) throws IOException {
        Files.createDirectories(root.resolve("deploy"));
        Files.writeString(root.resolve("deploy/balancer.toml"), "build = \"x\"\n");
        assertThrows(IOException.class, () -> RunLine.read(root));
    }
}
