// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import ottergauge.lab.scale.link.LinksProcess;
import picocli.CommandLine.Command;

/** Runs the links of a scale test, from the regions to discovery, in a process of their own. */
@Command(
        name = "links",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Relay bytes over links; reads commands from standard input and exits at its end.")
final class LinksCommand implements Callable<Integer> {

    @Override
    public Integer call() throws IOException {
        new LinksProcess().run(System.in, System.out);
        return 0;
    }
}
