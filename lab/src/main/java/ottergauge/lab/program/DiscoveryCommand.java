// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import ottergauge.lab.scale.discovery.DiscoveryProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the discovery stand-in of a scale test in a process of its own. */
@Command(
        name = "discovery",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Stand in for discovery; reads commands from standard input and exits at its end.")
final class DiscoveryCommand implements Callable<Integer> {

    @Option(names = "--listen", required = true, description = "The address, as HOST:PORT.")
    private String listen;

    @Option(
            names = "--calls-per-second",
            required = true,
            description = "The number of calls handled per second.")
    private double callsPerSecond;

    @Option(
            names = "--patience-us",
            required = true,
            description = "How long a call may queue, in microseconds.")
    private long patience;

    @Override
    public Integer call() throws IOException, InterruptedException {
        new DiscoveryProcess(listen, callsPerSecond, patience).run(System.in, System.out);
        return 0;
    }
}
