// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import ottergauge.control.client.ControlClient;
import ottergauge.control.client.PublishResult;
import ottergauge.control.program.SubmissionFile.Batch;
import ottergauge.resources.LogPosition;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Publishes the submission in a file. */
@Command(
        name = "publish",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "Publish a change: the file is a submission as in docs/control.md, with or"
                        + " without an id.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            " 0:committed",
            " 1:rejected, or not known to be committed",
            " 2:wrong usage"
        })
final class PublishCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Mixin private ControlAddresses addresses;

    @Option(
            names = "--within-ms",
            paramLabel = "MS",
            defaultValue = "30000",
            description = "The time limit for retries; ${DEFAULT-VALUE} unless given.")
    private long timeoutMs;

    @Option(
            names = "--split",
            description = "Publish a file that is too large for one change as several.")
    private boolean split;

    @Parameters(paramLabel = "FILE", description = "The submission, as JSON.")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
        List<Batch> batches;
        try {
            SubmissionFile submissionFile = SubmissionFile.read(file);
            batches = split ? submissionFile.split() : List.of(submissionFile.asOneSubmission());
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + " can't be read: " + e.getMessage());
            return 1;
        }
        ControlClient client = new ControlClient(addresses.list());
        for (Batch batch : batches) {
            if (!report(batch, client.publish(batch.body(), Duration.ofMillis(timeoutMs)))) {
                return 1;
            }
        }
        return 0;
    }

    private boolean report(Batch batch, PublishResult result) {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if (result instanceof PublishResult.Accepted accepted) {
            LogPosition position = accepted.position();
            out.println(
                    batch.id() + ": version " + position.version() + " of log " + position.log());
            return true;
        }
        if (result instanceof PublishResult.Rejected rejected) {
            rejected.errors().forEach(error -> err.println(batch.id() + " is rejected: " + error));
        } else if (result instanceof PublishResult.Unknown unknown) {
            err.println(
                    batch.id()
                            + " is not known to be accepted, publish it again with the same id: "
                            + unknown.reason());
        }
        return false;
    }
}
