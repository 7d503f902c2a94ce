// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line: one subcommand for each way of running the node. */
@Command(name = "ottergauge", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
    description = "A load balancer node.",
    subcommands = {ServeCommand.class, RehearseCommand.class, SimHostCommand.class})
public final class Main implements Runnable {

    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Takes the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"ottergauge " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
