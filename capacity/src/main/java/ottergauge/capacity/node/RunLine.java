// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The shell line by which operators start a node. */
public record RunLine(String command) {

    private static final Pattern RUN_KEY = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);
    private static final String ARCHIVE = "-XX:SharedArchiveFile";
    private static final String JAR = "-jar";

    /** Reads the line from the deploy file of the program under this root. */
    public static RunLine read(Path root) throws IOException {
        Path deploy = root.resolve("deploy/balancer.toml");
        Matcher found = RUN_KEY.matcher(Files.readString(deploy));
        if (!found.find()) {
            throw new IOException(deploy + " has no line run");
        }
        return new RunLine(found.group(1));
    }

    /**
     * The virtual machine's flags, without the archive of classes, which is of the node's jar
     * alone: benchmarks run under the same compiler, collector and heap as a node.
     */
    public List<String> jvmFlags() {
        return Arrays.stream(command.split("\\s+"))
                .takeWhile(word -> !word.equals(JAR))
                .filter(word -> word.startsWith("-") && !word.startsWith(ARCHIVE))
                .toList();
    }
}
