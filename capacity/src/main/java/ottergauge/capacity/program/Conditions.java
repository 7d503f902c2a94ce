// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** What the page says of the machine and of the sources that were measured. */
final class Conditions {

    private static final long GIT_TIMEOUT_S = 10;
    private static final String UNKNOWN = "unknown";

    private Conditions() {}

    /** The name that git gives to the sources, with a mark if they were changed. */
    static String version(Path root) {
        try {
            Process git =
                    new ProcessBuilder("git", "describe", "--always", "--dirty")
                            .directory(root.toFile())
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            String text =
                    new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            boolean exited = git.waitFor(GIT_TIMEOUT_S, TimeUnit.SECONDS);
            return exited && git.exitValue() == 0 ? text : UNKNOWN;
        } catch (IOException e) {
            return UNKNOWN;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return UNKNOWN;
        }
    }

    /** The processor's name as the system tells it. */
    static String processor() {
        try {
            return Files.readAllLines(Path.of("/proc/cpuinfo")).stream()
                    .filter(line -> line.startsWith("model name"))
                    .findFirst()
                    .map(line -> line.substring(line.indexOf(':') + 1).strip())
                    .orElse(UNKNOWN);
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Processes that ran or wanted to, on the mean of the last minute. */
    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }
}
