// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.RequestFields;
import ottergauge.protocol.TestConfig;
import ottergauge.resources.LogPosition;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.ServerResponse;

/**
 * Drives a router without sockets: passes events to it, fires its timers in simulated time, and
 * collects its effects in order.
 */
final class RouterDriver {

    private record ScheduledTimer(long at, long order, Timer timer) {}

    private final List<Effect> effects = new ArrayList<>();
    private final PriorityQueue<ScheduledTimer> timers =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledTimer::at)
                            .thenComparingLong(ScheduledTimer::order));
    private final Deque<Effect.ReadPendingInput> reads = new ArrayDeque<>();
    private final Router router;
    private boolean holdsPendingReads;
    private final Deque<Effect.CheckRelay> relayChecks = new ArrayDeque<>();
    private boolean unreadBacklog;
    private boolean clientsReadAll;
    private long now = 1_000_000_000_000L;
    private long order;
    private long lastClient;
    private long lastPoll;
    private long lastRequest;

    RouterDriver(TestConfig config) {
        this(config, true);
    }

    /** A node that serves, whose process has this much memory for I/O buffers. */
    RouterDriver(TestConfig config, long ioMemoryBytes) {
        this(config, true, ioMemoryBytes);
    }

    RouterDriver(TestConfig config, boolean serving) {
        this(config, serving, Long.MAX_VALUE);
    }

    private RouterDriver(TestConfig config, boolean serving, long ioMemoryBytes) {
        router = new Router(config.build(), ioMemoryBytes, this::collect);
        router.start(now);
        if (serving) {
            router.handle(now, new Event.ServingStarted());
        }
    }

    private void collect(Effect effect) {
        if (effect instanceof StartTimer timer) {
            timers.add(new ScheduledTimer(now + timer.delayMicros(), order++, timer.timer()));
        } else if (effect instanceof Effect.ReadPendingInput read) {
            reads.add(read);
        } else if (effect instanceof Effect.CheckRelay check) {
            relayChecks.add(check);
        } else {
            lastPoll = effect instanceof PollDiscovery call ? call.poll() : lastPoll;
            effects.add(effect);
        }
    }

    void handle(Event event) {
        router.handle(now, event);
        while (!holdsPendingReads && !reads.isEmpty()) {
            confirm(reads.poll());
        }
        while (!relayChecks.isEmpty()) {
            long client = relayChecks.poll().client();
            router.handle(now, new Event.RelayChecked(client, !clientsReadAll));
        }
    }

    /** From now on, clients have read all of the responses that are relayed to them. */
    void letClientsReadAll() {
        clientsReadAll = true;
    }

    /**
     * From now on, delays the confirmation that the router waits for before it writes the first
     * byte of an attempt. Other events can then reach the router before that byte.
     */
    void holdPendingReads() {
        holdsPendingReads = true;
    }

    /** Sends the delayed confirmations, so that the router may write the attempts. */
    void releasePendingReads() {
        holdsPendingReads = false;
        for (Effect.ReadPendingInput read = reads.poll(); read != null; read = reads.poll()) {
            confirm(read);
        }
    }

    private void confirm(Effect.ReadPendingInput read) {
        router.handle(
                now, new Event.PendingInputRead(read.connection(), read.attempt(), !unreadBacklog));
    }

    /** The delayed confirmation that the router has waited for longest. */
    Effect.ReadPendingInput firstPendingRead() {
        return reads.getFirst();
    }

    /** From now on, clients have always sent more than the node can read before an attempt. */
    void leaveUnreadBacklog() {
        unreadBacklog = true;
    }

    void advanceMs(long ms) {
        long until = now + ms * 1000;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            ScheduledTimer next = timers.poll();
            now = next.at();
            handle(new Event.TimerFired(next.timer()));
        }
        now = until;
    }

    /** Suspends the node: time advances but no timer fires. */
    void suspendMs(long ms) {
        now += ms * 1000;
    }

    long nowMs() {
        return now / 1000;
    }

    /** Removes and returns the first effect of a type; fails if there is none. */
    <E extends Effect> E expect(Class<E> kind) {
        for (Effect effect : effects) {
            if (kind.isInstance(effect)) {
                effects.remove(effect);
                return kind.cast(effect);
            }
        }
        return fail("no " + kind.getSimpleName() + " in " + effects);
    }

    /** The effects of a type, which stay. */
    <E extends Effect> List<E> all(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    boolean has(Class<? extends Effect> kind) {
        return effects.stream().anyMatch(kind::isInstance);
    }

    void expectNo(Class<? extends Effect> kind) {
        assertEquals(List.of(), effects.stream().filter(kind::isInstance).toList());
    }

    long client() {
        handle(new Event.ClientConnected(++lastClient));
        return lastClient;
    }

    /** A new client sends a request of this class. */
    long request(String requestClass) {
        long client = client();
        request(client, requestClass, 1000);
        return client;
    }

    void request(long client, String requestClass, long expiresInMs) {
        handle(new Event.RequestHeadReceived(client));
        handle(
                new Event.RequestReceived(
                        client,
                        clientRequest(requestClass, "id-" + ++lastRequest, expiresInMs),
                        0));
    }

    /** A valid request of a class. */
    static ClientRequest clientRequest(String requestClass, String traceId, long expiresInMs) {
        boolean idempotent = "read".equals(requestClass);
        return new ClientRequest(
                new RequestFields(
                        traceId,
                        requestClass,
                        expiresInMs,
                        false,
                        "pay".equals(requestClass) ? "key" : null),
                idempotent ? "GET" : "POST",
                "/api?x=1",
                idempotent ? Content.NONE : text("ask"));
    }

    /** Establishes the next requested connection and returns the request that is written to it. */
    Forward connectNext() {
        handle(new Event.UpstreamConnected(expect(ConnectUpstream.class).connection()));
        return expect(Forward.class);
    }

    /** Sends a new client's request, and returns it as it is written to a new connection. */
    Forward forwardOnNewConnection(String requestClass) {
        request(requestClass);
        return connectNext();
    }

    /** Sends a new client's request, and returns it as it is written to an idle connection. */
    Forward forwardOnIdleConnection(String requestClass) {
        request(requestClass);
        return expect(Forward.class);
    }

    void refuseNext() {
        handle(new Event.UpstreamConnectFailed(expect(ConnectUpstream.class).connection()));
    }

    void written(Forward forward) {
        handle(new Event.RequestWritten(forward.connection()));
    }

    void answer(Forward forward, int status, boolean neverRan) {
        answer(forward, status, neverRan, true);
    }

    void answer(Forward forward, int status, boolean neverRan, boolean reusable) {
        handle(
                new Event.ResponseReceived(
                        forward.connection(),
                        new ServerResponse(
                                status, neverRan, LoadReport.NONE, text("answer"), reusable)));
    }

    private static Content text(String body) {
        return new Content("text/plain", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Completes the write of a request and answers it with 200. */
    void serve(Forward forward) {
        written(forward);
        answer(forward, 200, false);
    }

    int status(long client) {
        Respond respond = expect(Respond.class);
        assertEquals(client, respond.client());
        handle(new Event.ResponseWritten(client));
        return respond.status();
    }

    /** Makes the node read another configuration, as on SIGHUP. */
    void reconfigure(TestConfig config) {
        handle(new Event.Reconfigured(config.build()));
    }

    /**
     * Applies another version of the state that all nodes share: an endpoint list in discovery's
     * format, and settings if there are any.
     */
    void changeState(
            long version, Optional<TestConfig> settings, boolean complete, String... entries) {
        try {
            EndpointList endpoints =
                    EndpointList.read(
                            TestConfig.list(version, complete, entries)
                                    .getBytes(StandardCharsets.UTF_8));
            handle(
                    new Event.StateChanged(
                            endpoints,
                            settings.map(config -> config.build().settings()),
                            new LogPosition("log", version)));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    Optional<LogPosition> version() {
        return router.version();
    }

    void pollFailed() {
        handle(new Event.DiscoveryPollFailed(lastPoll));
    }

    /** Answers the outstanding poll of discovery; the first one is sent soon after the start. */
    void receiveList(long seq, boolean complete, String... entries) {
        if (lastPoll == 0) {
            advanceMs(200);
        }
        try {
            handle(
                    new Event.EndpointListReceived(
                            lastPoll,
                            EndpointList.read(
                                    TestConfig.list(seq, complete, entries)
                                            .getBytes(StandardCharsets.UTF_8))));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }
}
