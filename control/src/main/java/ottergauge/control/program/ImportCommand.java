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
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Keeps a service's servers in the log like discovery's list, until it is told to stop. */
@Command(
        name = "import",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "Follow discovery's list and publish what changes in it, until SIGTERM. One at a"
                        + " time for a service: servers that discovery doesn't list are deleted.")
final class ImportCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ImportCommand.class);
    private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(30);
    private static final long RETRY_PAUSE_MS = 1_000;
    private static final int MAX_LOGGED_ERRORS = 5;

    @Spec private CommandSpec spec;

    @Option(
            names = "--to",
            paramLabel = "ADDRESS",
            required = true,
            split = ",",
            converter = AddressConverter.class,
            description = "The control processes, asked in turn.")
    private List<Address> addresses;

    @Option(
            names = "--service",
            paramLabel = "NAME",
            required = true,
            description = "The service that discovery's servers belong to; made if there is none.")
    private String service;

    @Option(
            names = "--every-ms",
            paramLabel = "MS",
            defaultValue = "250",
            description =
                    "The least time between two changes, what comes meanwhile is put together; "
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

    /** Up to where the log is known; empty if its state has to be taken anew. */
    private Optional<LogPosition> known = Optional.empty();

    @Override
    public Integer call() throws InterruptedException {
        if (!ResourceValidator.isValidName(service)) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--service is " + ResourceValidator.NAME_FORMAT + ", not '" + service + "'");
        }
        control = new ControlClient(addresses);
        discovery = new DiscoveryClient(discoveryAddress);
        reconciler = new ServiceReconciler(service);
        LOG.info("imports the servers of {} from {}", service, discoveryAddress);
        while (true) {
            try {
                followLog();
                reconciler.takeList(discovery.next());
                followLog();
                publishDifferences();
            } catch (IOException | ProtocolException | ControlCallException e) {
                LOG.warn("goes on in a moment: {}", e.getMessage());
                Thread.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    // What others have published, or that the log has begun anew.
    private void followLog() throws ControlCallException, InterruptedException {
        while (known.isPresent()) {
            Optional<ChangePage> page = control.changes(service, known.get());
            if (page.isEmpty()) {
                known = Optional.empty();
                break;
            }
            page.get().changes().forEach(reconciler::takeChange);
            boolean last = page.get().changes().isEmpty();
            known = Optional.of(page.get().upTo());
            if (last) {
                return;
            }
        }
        takeState();
    }

    // The changes after the first page follow with the next call for changes.
    private void takeState() throws ControlCallException, InterruptedException {
        List<Resource> resources = new ArrayList<>();
        Optional<LogPosition> first = Optional.empty();
        Optional<ResourceKey> from = Optional.empty();
        do {
            SnapshotPage page = control.snapshot(service, first, from);
            resources.addAll(page.resources());
            first = Optional.of(first.orElse(page.at()));
            from = page.next();
        } while (from.isPresent());
        reconciler.takeState(resources);
        known = first;
    }

    private void publishDifferences() throws ControlCallException, InterruptedException {
        Optional<Submission> next = reconciler.next(UUID.randomUUID().toString());
        while (next.isPresent()) {
            long begun = System.nanoTime();
            List<FieldError> malformed = reconciler.rejectMalformed(next.get());
            if (malformed.isEmpty()) {
                publish(next.get());
                long spentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
                Thread.sleep(Math.max(0, intervalMs - spentMs));
            } else {
                tell(malformed);
            }
            next = reconciler.next(UUID.randomUUID().toString());
        }
    }

    private void publish(Submission submission) throws ControlCallException, InterruptedException {
        PublishResult result = control.publish(ResourceCodec.write(submission), PUBLISH_TIMEOUT);
        if (result instanceof PublishResult.Accepted accepted) {
            reconciler.accepted(submission);
            LOG.info(
                    "version {}: {} put, {} deleted",
                    accepted.position().version(),
                    submission.puts().size(),
                    submission.deletes().size());
        } else if (result instanceof PublishResult.Rejected refused) {
            tell(refused.errors());
            reconciler.refuse(submission, refused.errors());
        } else if (result instanceof PublishResult.Unknown unknown) {
            known = Optional.empty();
            throw new ControlCallException(
                    "a change is not known to be accepted, the log is read anew: "
                            + unknown.reason());
        }
    }

    private static void tell(List<FieldError> errors) {
        errors.stream().limit(MAX_LOGGED_ERRORS).forEach(error -> LOG.warn("left out: {}", error));
        if (errors.size() > MAX_LOGGED_ERRORS) {
            LOG.warn("left out: {} more", errors.size() - MAX_LOGGED_ERRORS);
        }
    }
}
