// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line, which runs a control process or calls running ones. */
@Command(
        name = "ottergauge-control",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "Orders changes of the state that all nodes share and distributes them to the"
                        + " nodes.",
        subcommands = {
            ServeCommand.class,
            PublishCommand.class,
            StatusCommand.class,
            ImportCommand.class
        })
public final class Main implements Runnable {

    @Spec private CommandSpec spec;

    /** Runs a command; exits with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is required");
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {
                "ottergauge-control " + (version == null ? "(unpackaged)" : version)
            };
        }
    }
}
