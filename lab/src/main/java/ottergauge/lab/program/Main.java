// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The laboratory's command line. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "ottergauge-lab 0.1.0",
        description = "Runs nodes against stand-ins and injects faults between them.",
        subcommands = {
            RunCommand.class,
            ScaleCommand.class,
            DiscoveryCommand.class,
            LinksCommand.class
        })
public final class Main {

    private Main() {}

    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
