// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import ottergauge.control.client.ControlClient;
import ottergauge.control.client.ProcessStatus;
import ottergauge.protocol.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the effective version of each control process and node. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Show the effective version of each control process and node.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            " 0:no process or node lags by more than the limit",
            " 1:one lags by more, or no process could be reached",
            " 2:wrong usage"
        })
final class StatusCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Mixin private ControlAddresses addresses;

    @Option(
            names = "--most-behind",
            paramLabel = "VERSIONS",
            defaultValue = "0",
            description =
                    "How many versions a node or a process may lag at most; ${DEFAULT-VALUE} unless"
                            + " given.")
    private long maxLagVersions;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        ControlClient client = new ControlClient(addresses.list());
        List<ProcessStatus> processes = new ArrayList<>();
        for (Address address : addresses.list()) {
            try {
                processes.add(client.status(address));
            } catch (IOException e) {
                out.println(address + " can't be reached: " + e.getMessage());
            }
        }
        if (processes.isEmpty()) {
            spec.commandLine().getErr().println("no control process can be reached");
            return 1;
        }
        ReplicationLagTable table = ReplicationLagTable.of(processes);
        table.print(out);
        return table.maxLagVersions() > maxLagVersions ? 1 : 0;
    }
}
