// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;

/**
 * Calls control processes. Each call first tries the process that responded to the previous call,
 * then the others in the order of the list. Calls block. Not thread-safe.
 */
public final class ControlClient {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private static final String CHANGES_PATH = "/control/v1/changes";
    private static final String SNAPSHOT_PATH = "/control/v1/snapshot";
    private static final String STATUS_PATH = "/control/v1/status";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Longer than the timeout of other calls, because control processes limit the rate of snapshot
     * pages.
     */
    private static final Duration SNAPSHOT_TIMEOUT = Duration.ofSeconds(60);

    private static final long MAX_STATUS_BYTES = 8 << 20;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;

    private final BoundedHttpClient http = new BoundedHttpClient();
    private final List<Address> addresses;

    /** The index of the address that most recently responded. */
    private int preferred;

    /** Creates a client of the control processes at these addresses. */
    public ControlClient(List<Address> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /** The result of sending a submission to each process at most once. */
    private record Round(Optional<PublishResult> result, String failure) {}

    /**
     * Publishes an encoded submission. Retries it with its id and with backoff until its outcome is
     * known or the timeout is over.
     */
    public PublishResult publish(byte[] submission, Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        long backoffMs = INITIAL_BACKOFF_MS;
        while (true) {
            Round round = publishOnce(submission);
            if (round.result().isPresent()) {
                return round.result().get();
            }
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMs <= 0) {
                return new PublishResult.Unknown(round.failure());
            }
            sleepWithJitter(Math.min(remainingMs, backoffMs));
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private Round publishOnce(byte[] submission) throws InterruptedException {
        String failure = "";
        for (int i = 0; i < addresses.size(); i++) {
            int index = (preferred + i) % addresses.size();
            Address address = addresses.get(index);
            try {
                Optional<PublishResult> result = publishTo(address, submission);
                if (result.isPresent()) {
                    preferred = index;
                    return new Round(result, "");
                }
                failure = address + " can't accept submissions now";
            } catch (IOException | ProtocolException e) {
                failure = address + ": " + e.getMessage();
            }
        }
        return new Round(Optional.empty(), failure);
    }

    // Sleeps for a random time between half of the backoff and the full backoff, so that clients
    // whose calls failed at the same time don't retry at the same time.
    private static void sleepWithJitter(long backoffMs) throws InterruptedException {
        Thread.sleep(backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs / 2 + 1));
    }

    // Returns empty if the process can't accept submissions now.
    private Optional<PublishResult> publishTo(Address address, byte[] submission)
            throws IOException, ProtocolException, InterruptedException {
        RawResponse response =
                http.post(
                        address,
                        CHANGES_PATH,
                        submission,
                        CALL_TIMEOUT,
                        ResourceCodec.MAX_PAGE_BYTES);
        return switch (response.status()) {
            case OK ->
                    Optional.of(
                            new PublishResult.Accepted(
                                    ResourceCodec.readPosition(response.body())));
            case BAD_REQUEST -> Optional.of(new PublishResult.Rejected(errorsOf(response.body())));
            case TOO_LARGE ->
                    Optional.of(new PublishResult.Rejected(List.of(tooLarge(submission))));
            default -> Optional.empty();
        };
    }

    private static FieldError tooLarge(byte[] submission) {
        return new FieldError(
                "the submission",
                submission.length + " bytes",
                ResourceCodec.MAX_SUBMISSION_BYTES + " bytes at most");
    }

    private static List<FieldError> errorsOf(byte[] body) {
        try {
            return ResourceCodec.readErrors(body);
        } catch (ProtocolException e) {
            return List.of(
                    new FieldError(
                            "the submission",
                            new String(body, StandardCharsets.UTF_8),
                            "one that can be read"));
        }
    }

    /**
     * Reads the status of one process.
     *
     * @throws IOException if the process doesn't respond, or responds with a status other than 200
     */
    public ProcessStatus status(Address address) throws IOException, InterruptedException {
        RawResponse response = http.get(address, STATUS_PATH, CALL_TIMEOUT, MAX_STATUS_BYTES);
        if (response.status() != OK) {
            throw new IOException("status " + response.status());
        }
        return ProcessStatus.read(response.body());
    }

    /**
     * Reads a snapshot page of one service with its servers and routes, and of the resources that
     * don't belong to a service.
     *
     * @param first the position of the first page; empty if this is the first page
     * @param from the first key of the page; empty for the first page
     * @throws ControlCallException if no process responds with a page
     */
    public SnapshotPage snapshot(
            String service, Optional<LogPosition> first, Optional<ResourceKey> from)
            throws ControlCallException, InterruptedException {
        String query =
                "?services="
                        + service
                        + first.map(position -> "&log=" + position.log()).orElse("")
                        + from.map(key -> "&from=" + key.path()).orElse("");
        RawResponse response = getFromAny(SNAPSHOT_PATH + query, SNAPSHOT_TIMEOUT);
        if (response.status() != OK) {
            throw new ControlCallException("snapshot call failed: status " + response.status());
        }
        try {
            return ResourceCodec.readSnapshotPage(response.body());
        } catch (ProtocolException e) {
            throw new ControlCallException(e.getMessage());
        }
    }

    /**
     * Reads the changes of one service after a position, without waiting for new changes. Returns
     * empty if the process can't serve the changes after that position, so that the caller has to
     * fetch a snapshot.
     *
     * @throws ControlCallException if no process responds with a page
     */
    public Optional<ChangePage> changes(String service, LogPosition after)
            throws ControlCallException, InterruptedException {
        String query = "?services=" + service + "&log=" + after.log() + "&after=" + after.version();
        RawResponse response = getFromAny(CHANGES_PATH + query, CALL_TIMEOUT);
        if (response.status() == GONE) {
            return Optional.empty();
        }
        if (response.status() != OK) {
            throw new ControlCallException("changes call failed: status " + response.status());
        }
        try {
            return Optional.of(ResourceCodec.readChangePage(response.body()));
        } catch (ProtocolException e) {
            throw new ControlCallException(e.getMessage());
        }
    }

    // Returns the response of the first process that is available.
    private RawResponse getFromAny(String path, Duration timeout)
            throws ControlCallException, InterruptedException {
        String failure = "";
        for (int i = 0; i < addresses.size(); i++) {
            int index = (preferred + i) % addresses.size();
            Address address = addresses.get(index);
            try {
                RawResponse response =
                        http.get(address, path, timeout, ResourceCodec.MAX_PAGE_BYTES);
                if (response.status() != UNAVAILABLE) {
                    preferred = index;
                    return response;
                }
                failure = address + ": status " + response.status();
            } catch (IOException e) {
                failure = address + ": " + e.getMessage();
            }
        }
        throw new ControlCallException(failure);
    }
}
