// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import ottergauge.lab.scale.link.LinksProcess;
import picocli.CommandLine.Command;

/** A process of a scale test: the links between regions. */
@Command(
        name = "links",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Relay bytes over links; orders come on standard input, and it ends with that.")
final class LinksCommand implements Callable<Integer> {

    @Override
    public Integer call() throws IOException {
        new LinksProcess().run(System.in, System.out);
        return 0;
    }
}
