// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Reads what the system tells of a process. */
class ProcessUsageTest {

    @Test
    void fieldsAreCountedBehindTheNameWhateverItHolds() {
        String stat =
                "42 (a) b (c) S 1 42 42 0 -1 4194560 900 0 0 0 150 50 0 0 20 0 9 0 77 5000 2000"
                        + " 18446 1 1 0 0";
        assertEquals(new ProcessUsage(2_000_000, 2_000 * 4_096L), ProcessUsage.parse(stat));
    }

    @Test
    void theMachineIsBusyWithAllButIdlingAndDisks() {
        assertEquals(
                new ProcessUsage(1_150_000, 0),
                ProcessUsage.parseMachine("cpu  50 10 40 9000 700 5 10 0 0 0"));
        assertTrue(ProcessUsage.ofMachine().cpuMicros() > 0);
    }

    @Test
    void aProcessThatRunsUsesSomething() {
        ProcessUsage use = ProcessUsage.of(ProcessHandle.current().pid());
        assertTrue(use.cpuMicros() > 0 && use.residentBytes() > 1 << 20, use.toString());
    }

    @Test
    void oneThatHasGoneUsesNothing() {
        assertEquals(new ProcessUsage(0, 0), ProcessUsage.of(Integer.MAX_VALUE));
    }
}
