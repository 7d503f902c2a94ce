// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.control.client.ControlCallException;
import ottergauge.control.client.ControlClient;
import ottergauge.control.client.PublishResult;
import ottergauge.control.discovery.DiscoveryClient;
import ottergauge.control.discovery.ServiceReconciler;
import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Submission;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Keeps the servers of a service in the log equal to discovery's list, until SIGTERM. */
@Command(
        name = "import",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "Watch discovery's list and publish its changes, until SIGTERM. Run only one at a"
                        + " time for a service: servers that discovery doesn't list are deleted.")
final class ImportCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ImportCommand.class);
    private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(30);
    private static final long RETRY_PAUSE_MS = 1_000;
    private static final int MAX_LOGGED_ERRORS = 5;

    @Spec private CommandSpec spec;

    @Mixin private ControlAddresses addresses;

    @Option(
            names = "--service",
            paramLabel = "NAME",
            required = true,
            description = "The service that discovery's servers belong to; created if missing.")
    private String service;

    @Option(
            names = "--every-ms",
            paramLabel = "MS",
            defaultValue = "250",
            description =
                    "The minimum time between two changes, which batches updates; "
                            + "${DEFAULT-VALUE} unless given.")
    private long intervalMs;

    @Parameters(
            paramLabel = "DISCOVERY",
            converter = AddressConverter.class,
            description = "Discovery's address.")
    private Address discoveryAddress;

    private ControlClient control;
    private DiscoveryClient discovery;
    private ServiceReconciler reconciler;

    /** The position up to which the log was read; empty if a snapshot has to be fetched. */
    private Optional<LogPosition> readUpTo = Optional.empty();

    @Override
    public Integer call() throws InterruptedException {
        if (!ResourceValidator.isValidName(service)) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--service is " + ResourceValidator.NAME_FORMAT + ", not '" + service + "'");
        }
        control = new ControlClient(addresses.list());
        discovery = new DiscoveryClient(discoveryAddress);
        reconciler = new ServiceReconciler(service);
        LOG.info("importing servers of service {} from discovery at {}", service, discoveryAddress);
        while (true) {
            try {
                followLog();
                reconciler.applyDiscoveryList(discovery.next());
                followLog();
                publishDifferences();
            } catch (IOException | ProtocolException | ControlCallException e) {
                LOG.warn("import failed, retrying: {}", e.getMessage());
                Thread.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    // Reads the changes that any client has published since the last call. Reads a snapshot instead
    // if the control process can't serve those changes.
    private void followLog() throws ControlCallException, InterruptedException {
        while (readUpTo.isPresent()) {
            Optional<ChangePage> page = control.changes(service, readUpTo.get());
            if (page.isEmpty()) {
                readUpTo = Optional.empty();
                break;
            }
            page.get().changes().forEach(reconciler::applyChange);
            boolean last = page.get().changes().isEmpty();
            readUpTo = Optional.of(page.get().upTo());
            if (last) {
                return;
            }
        }
        takeSnapshot();
    }

    // Reads a snapshot of several pages, and sets the read position to that of the first page. The
    // next call for changes thus also returns the changes that were committed while the other pages
    // were read.
    private void takeSnapshot() throws ControlCallException, InterruptedException {
        List<Resource> resources = new ArrayList<>();
        Optional<LogPosition> first = Optional.empty();
        Optional<ResourceKey> from = Optional.empty();
        do {
            SnapshotPage page = control.snapshot(service, first, from);
            resources.addAll(page.resources());
            first = Optional.of(first.orElse(page.at()));
            from = page.next();
        } while (from.isPresent());
        reconciler.resetPublished(resources);
        readUpTo = first;
    }

    private void publishDifferences() throws ControlCallException, InterruptedException {
        Optional<Submission> next = reconciler.nextSubmission(UUID.randomUUID().toString());
        while (next.isPresent()) {
            long startedNanos = System.nanoTime();
            List<FieldError> malformed = reconciler.rejectMalformed(next.get());
            if (malformed.isEmpty()) {
                publish(next.get());
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
                Thread.sleep(Math.max(0, intervalMs - elapsedMs));
            } else {
                logSkipped(malformed);
            }
            next = reconciler.nextSubmission(UUID.randomUUID().toString());
        }
    }

    private void publish(Submission submission) throws ControlCallException, InterruptedException {
        PublishResult result = control.publish(ResourceCodec.write(submission), PUBLISH_TIMEOUT);
        if (result instanceof PublishResult.Accepted accepted) {
            reconciler.markAccepted(submission);
            LOG.info(
                    "published version {}: {} put, {} deleted",
                    accepted.position().version(),
                    submission.puts().size(),
                    submission.deletes().size());
        } else if (result instanceof PublishResult.Rejected rejected) {
            logSkipped(rejected.errors());
            reconciler.markRejected(submission, rejected.errors());
        } else if (result instanceof PublishResult.Unknown unknown) {
            readUpTo = Optional.empty();
            throw new ControlCallException(
                    "submission not known to be committed, reading the log again: "
                            + unknown.reason());
        }
    }

    private static void logSkipped(List<FieldError> errors) {
        errors.stream().limit(MAX_LOGGED_ERRORS).forEach(error -> LOG.warn("skipped: {}", error));
        if (errors.size() > MAX_LOGGED_ERRORS) {
            LOG.warn("skipped: {} more", errors.size() - MAX_LOGGED_ERRORS);
        }
    }
}
