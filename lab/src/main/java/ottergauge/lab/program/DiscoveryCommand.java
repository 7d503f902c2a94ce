// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import ottergauge.lab.scale.discovery.DiscoveryProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A process of a scale test: discovery. */
@Command(
        name = "discovery",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Stand in for discovery; orders come on standard input, and it ends with that.")
final class DiscoveryCommand implements Callable<Integer> {

    @Option(names = "--listen", required = true, description = "The address, as HOST:PORT.")
    private String listen;

    @Option(
            names = "--calls-per-second",
            required = true,
            description = "The calls that it works through.")
    private double callsPerSecond;

    @Option(
            names = "--patience-us",
            required = true,
            description = "How long a call may stand in line.")
    private long patience;

    @Override
    public Integer call() throws IOException, InterruptedException {
        new DiscoveryProcess(listen, callsPerSecond, patience).run(System.in, System.out);
        return 0;
    }
}
