// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** What a process has used so far, as the system tells it: CPU in microseconds, resident bytes. */
public record ProcessUsage(long cpuMicros, long residentBytes) {

    private static final long MICROS_A_TICK = 10_000;
    private static final long PAGE = 4_096;
    // Behind the name, which may hold anything and ends with the last bracket.
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final int RESIDENT_PAGES = 21;
    private static final int IDLE = 4;
    private static final int DISKS = 5;
    private static final int LAST_OF_MACHINE = 7;

    /** Reads it, or nothing if the process has gone. */
    public static ProcessUsage of(long pid) {
        try {
            return parse(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return new ProcessUsage(0, 0);
        }
    }

    /** What all processes of the machine together have used. */
    public static ProcessUsage ofMachine() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/stat"))) {
            return parseMachine(lines.findFirst().orElse(""));
        } catch (IOException e) {
            return new ProcessUsage(0, 0);
        }
    }

    // User, nice and system time come first, then idle time and waiting for disks, then interrupts.
    static ProcessUsage parseMachine(String line) {
        String[] fields = line.trim().split("\\s+", -1);
        long ticks = 0;
        for (int field = 1; field <= LAST_OF_MACHINE && field < fields.length; field++) {
            ticks += field == IDLE || field == DISKS ? 0 : Long.parseLong(fields[field]);
        }
        return new ProcessUsage(ticks * MICROS_A_TICK, 0);
    }

    static ProcessUsage parse(String stat) {
        List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).trim().split(" "));
        long ticks =
                Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS));
        return new ProcessUsage(
                ticks * MICROS_A_TICK, Long.parseLong(fields.get(RESIDENT_PAGES)) * PAGE);
    }
}
