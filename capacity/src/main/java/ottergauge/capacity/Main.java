// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity;

import ottergauge.capacity.program.TableCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the capacity measurements. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        version = "ottergauge-capacity 0.1.0",
        description = "Measures one node at growing sizes.",
        subcommands = {TableCommand.class})
public final class Main {

    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(
                new CommandLine(new Main())
                        .setCaseInsensitiveEnumValuesAllowed(true)
                        .execute(arguments));
    }
}
