// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The shell command with which operators start a node. */
public record RunLine(String command) {

    private static final Pattern RUN_KEY = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);
    private static final String ARCHIVE = "-XX:SharedArchiveFile";
    private static final String JAR = "-jar";

    /** Reads the {@code run} entry of deploy/balancer.toml in this folder. */
    public static RunLine read(Path root) throws IOException {
        Path deploy = root.resolve("deploy/balancer.toml");
        Matcher found = RUN_KEY.matcher(Files.readString(deploy));
        if (!found.find()) {
            throw new IOException(deploy + " has no line that starts with: run = \"");
        }
        return new RunLine(found.group(1));
    }

    /**
     * Returns the JVM flags of the command, so that benchmarks run with the same JIT compiler,
     * garbage collector and heap as a node. The class-data-sharing archive is left out, because it
     * only fits the node's jar.
     */
    public List<String> jvmFlags() {
        return Arrays.stream(command.split("\\s+"))
                .takeWhile(word -> !word.equals(JAR))
                .filter(word -> word.startsWith("-") && !word.startsWith(ARCHIVE))
                .toList();
    }
}
