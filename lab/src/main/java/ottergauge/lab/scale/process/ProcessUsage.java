// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The resources that a process has used so far according to /proc: CPU time in microseconds, and
 * resident bytes.
 */
public record ProcessUsage(long cpuMicros, long residentBytes) {

    private static final long MICROS_PER_TICK = 10_000;
    private static final long PAGE_BYTES = 4_096;
    // Field positions after the process name in /proc/PID/stat. The name may contain any character
    // and ends at the last closing bracket.
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final int RESIDENT_PAGES_FIELD = 21;
    private static final int IDLE_FIELD = 4;
    private static final int IO_WAIT_FIELD = 5;
    private static final int LAST_BUSY_FIELD = 7;

    /** Reads the usage of a process; all zero if the process does not exist. */
    public static ProcessUsage of(long pid) {
        try {
            return parse(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return new ProcessUsage(0, 0);
        }
    }

    /** Reads the CPU time that all processes of the machine have used together. */
    public static ProcessUsage ofMachine() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/stat"))) {
            return parseMachine(lines.findFirst().orElse(""));
        } catch (IOException e) {
            return new ProcessUsage(0, 0);
        }
    }

    // The fields are user, nice and system time, then idle time and I/O wait, then interrupts.
    static ProcessUsage parseMachine(String line) {
        String[] fields = line.trim().split("\\s+", -1);
        long ticks = 0;
        for (int field = 1; field <= LAST_BUSY_FIELD && field < fields.length; field++) {
            ticks +=
                    field == IDLE_FIELD || field == IO_WAIT_FIELD
                            ? 0
                            : Long.parseLong(fields[field]);
        }
        return new ProcessUsage(ticks * MICROS_PER_TICK, 0);
    }

    static ProcessUsage parse(String stat) {
        List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).trim().split(" "));
        long ticks =
                Long.parseLong(fields.get(USER_TICKS_FIELD))
                        + Long.parseLong(fields.get(SYSTEM_TICKS_FIELD));
        return new ProcessUsage(
                ticks * MICROS_PER_TICK,
                Long.parseLong(fields.get(RESIDENT_PAGES_FIELD)) * PAGE_BYTES);
    }
}
