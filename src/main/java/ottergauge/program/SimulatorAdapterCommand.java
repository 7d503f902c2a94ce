// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.simulator.SimulatorAdapter;
import ottergauge.simulator.SimulatorFormatException;
import picocli.CommandLine.Command;

/**
 * Hosts decision engines for the simulator: reads batches from standard input and writes replies to
 * standard output.
 */
@Command(
        name = "simhost",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Host decision engines for the simulator, over standard input and output.")
final class SimulatorAdapterCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(SimulatorAdapterCommand.class);

    @Override
    public Integer call() {
        try {
            new SimulatorAdapter(System.in, System.out).run();
            return 0;
        } catch (SimulatorFormatException e) {
            LOG.error("malformed input: {}", e.getMessage());
        } catch (IOException e) {
            LOG.error("input or output failed: {}", e.getMessage());
        }
        return 1;
    }
}
