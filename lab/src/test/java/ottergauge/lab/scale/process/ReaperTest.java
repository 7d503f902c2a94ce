// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against processes that keep running after the laboratory is killed. */
@Timeout(30)
class ReaperTest {

    private static final int KILLED = 128 + 9;

    private static Process sleeper() throws Exception {
        return new ProcessBuilder("sleep", "60").start();
    }

    @Test
    void runningAndStoppedProcessesAreKilledAtTheEndOfInput() throws Exception {
        Process running = sleeper();
        Process ended = sleeper();
        Process stopped = sleeper();
        try {
            Reaper reaper = new Reaper();
            reaper.started(running.pid());
            reaper.started(ended.pid());
            reaper.started(stopped.pid());
            reaper.ended(ended.pid());
            assertEquals(
                    0, new ProcessBuilder("kill", "-STOP", "" + stopped.pid()).start().waitFor());
            reaper.close();
            assertTrue(
                    running.waitFor(20, TimeUnit.SECONDS) && stopped.waitFor(20, TimeUnit.SECONDS));
            assertEquals(KILLED, running.exitValue());
            assertEquals(KILLED, stopped.exitValue());
            assertTrue(ended.isAlive(), "an unregistered process was killed");
        } finally {
            running.destroyForcibly();
            ended.destroyForcibly();
            stopped.destroyForcibly();
        }
    }
}
