// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class MainTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int execute(String... args) {
        return new CommandLine(new Main())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    @Test
    void helpAndVersionExitWithZero() {
        assertEquals(0, execute("--help"));
        assertTrue(out.toString().contains("simhost"), out.toString());
        assertEquals(0, execute("--version"));
        assertEquals(0, execute("simhost", "--help"));
    }

    @Test
    void missingOrUnknownCommandOrOptionPrintsUsageAndExitsWithTwo() {
        for (String[] args :
                new String[][] {{}, {"serve"}, {"fly"}, {"--fast"}, {"simhost", "--fast"}}) {
            err.getBuffer().setLength(0);
            assertEquals(2, execute(args), String.join(" ", args));
            assertTrue(err.toString().contains("Usage:"), err.toString());
        }
    }
}
