// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Describes the machine and the version of the measured sources, for the page. */
final class Conditions {

    private static final long GIT_TIMEOUT_S = 10;
    private static final String UNKNOWN = "unknown";

    private Conditions() {}

    /** Returns the output of {@code git describe}, which marks sources with uncommitted changes. */
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

    /** Returns the model name of the processor from /proc/cpuinfo. */
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

    /** Returns the load average of the last minute: the mean number of runnable processes. */
    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }
}
