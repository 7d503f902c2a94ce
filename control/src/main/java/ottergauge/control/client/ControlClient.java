// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import ottergauge.control.client.BoundedHttpClient.RawResponse;
import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;

/** Calls control processes, one after the other until one answers. */
public final class ControlClient {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;
    private static final String CHANGES_PATH = "/control/v1/changes";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /** A page may have to wait for its turn. */
    private static final Duration SNAPSHOT_TIMEOUT = Duration.ofSeconds(60);

    private static final long MAX_STATUS_BYTES = 8 << 20;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;

    private final BoundedHttpClient calls = new BoundedHttpClient();
    private final List<Address> addresses;

    /** The address that answered last: asked first. */
    private int preferred;

    public ControlClient(List<Address> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /** Publishes a submission, again and again under its id until it is known what became of it. */
    public PublishResult publish(byte[] submission, Duration within) throws InterruptedException {
        long until = System.nanoTime() + within.toNanos();
        long pauseMs = INITIAL_BACKOFF_MS;
        String reason = "";
        while (true) {
            for (int i = 0; i < addresses.size(); i++) {
                int at = (preferred + i) % addresses.size();
                try {
                    Optional<PublishResult> result = publishAt(addresses.get(at), submission);
                    if (result.isPresent()) {
                        preferred = at;
                        return result.get();
                    }
                    reason = addresses.get(at) + " can't accept anything now";
                } catch (IOException | ProtocolException e) {
                    reason = addresses.get(at) + ": " + e.getMessage();
                }
            }
            long leftMs = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (leftMs <= 0) {
                return new PublishResult.Unknown(reason);
            }
            pause(Math.min(leftMs, pauseMs));
            pauseMs = Math.min(MAX_BACKOFF_MS, 2 * pauseMs);
        }
    }

    // Half of it at least: many that failed together don't try again together.
    private static void pause(long longestMs) throws InterruptedException {
        Thread.sleep(longestMs / 2 + ThreadLocalRandom.current().nextLong(longestMs / 2 + 1));
    }

    private Optional<PublishResult> publishAt(Address address, byte[] submission)
            throws IOException, ProtocolException, InterruptedException {
        RawResponse answer =
                calls.post(
                        address,
                        CHANGES_PATH,
                        submission,
                        CALL_TIMEOUT,
                        ResourceCodec.MAX_PAGE_BYTES);
        return switch (answer.status()) {
            case OK ->
                    Optional.of(
                            new PublishResult.Accepted(ResourceCodec.readPosition(answer.body())));
            case BAD_REQUEST -> Optional.of(new PublishResult.Rejected(errors(answer.body())));
            case BoundedHttpClient.TOO_LARGE ->
                    Optional.of(
                            new PublishResult.Rejected(
                                    List.of(
                                            new FieldError(
                                                    "the submission",
                                                    submission.length + " bytes",
                                                    ResourceCodec.MAX_SUBMISSION_BYTES
                                                            + " bytes at most"))));
            default -> Optional.empty();
        };
    }

    private static List<FieldError> errors(byte[] body) {
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

    /** What one process tells of itself. */
    public ProcessStatus status(Address address) throws IOException, InterruptedException {
        RawResponse answer =
                calls.get(address, "/control/v1/status", CALL_TIMEOUT, MAX_STATUS_BYTES);
        if (answer.status() != OK) {
            throw new IOException("status " + answer.status());
        }
        return ProcessStatus.read(answer.body());
    }

    /**
     * A page of the state of one service with its servers and routes, and of what belongs to none.
     */
    public SnapshotPage snapshot(
            String service, Optional<LogPosition> first, Optional<ResourceKey> from)
            throws ControlCallException, InterruptedException {
        String query =
                "?services="
                        + service
                        + first.map(at -> "&log=" + at.log()).orElse("")
                        + from.map(key -> "&from=" + key.path()).orElse("");
        RawResponse answer = ask("/control/v1/snapshot" + query, SNAPSHOT_TIMEOUT);
        if (answer.status() != OK) {
            throw new ControlCallException("a snapshot is answered by status " + answer.status());
        }
        try {
            return ResourceCodec.readSnapshotPage(answer.body());
        } catch (ProtocolException e) {
            throw new ControlCallException(e.getMessage());
        }
    }

    /** The changes of one service that are there by now; empty if a snapshot is needed. */
    public Optional<ChangePage> changes(String service, LogPosition after)
            throws ControlCallException, InterruptedException {
        RawResponse answer =
                ask(
                        CHANGES_PATH
                                + "?services="
                                + service
                                + "&log="
                                + after.log()
                                + "&after="
                                + after.version(),
                        CALL_TIMEOUT);
        if (answer.status() == GONE) {
            return Optional.empty();
        }
        if (answer.status() != OK) {
            throw new ControlCallException("changes are answered by status " + answer.status());
        }
        try {
            return Optional.of(ResourceCodec.readChangePage(answer.body()));
        } catch (ProtocolException e) {
            throw new ControlCallException(e.getMessage());
        }
    }

    // Of the first process that answers with anything but that it can't now.
    private RawResponse ask(String path, Duration within)
            throws ControlCallException, InterruptedException {
        String reason = "";
        for (int i = 0; i < addresses.size(); i++) {
            int at = (preferred + i) % addresses.size();
            try {
                RawResponse answer =
                        calls.get(addresses.get(at), path, within, ResourceCodec.MAX_PAGE_BYTES);
                if (answer.status() != BoundedHttpClient.UNAVAILABLE) {
                    preferred = at;
                    return answer;
                }
                reason = addresses.get(at) + ": status " + answer.status();
            } catch (IOException e) {
                reason = addresses.get(at) + ": " + e.getMessage();
            }
        }
        throw new ControlCallException(reason);
    }
}
