// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line: one subcommand for each way of running the node. */
@Command(
        name = "ottergauge",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "A load balancer node.",
        subcommands = {
            ServeCommand.class,
            MigrateCommand.class,
            RehearseCommand.class,
            SimulatorAdapterCommand.class,
            HollowCommand.class
        })
public final class Main implements Runnable {

    @Spec private CommandSpec spec;

    /** Runs a command and exits with its exit code. */
    public static void main(String[] args) throws InterruptedException {
        String config = System.getenv("BALANCER_CONFIG");
        // picocli takes 0.24 s of CPU to build its model of the command line. With half a core, a
        // restarted node would be unavailable half a second longer. The usual start has no options
        // to parse.
        boolean usual = config != null && args.length == 1 && "serve".equals(args[0]);
        System.exit(
                usual
                        ? new ServeCommand(Path.of(config)).call()
                        : new CommandLine(new Main()).execute(args));
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
