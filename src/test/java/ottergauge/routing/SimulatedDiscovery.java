// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CancelPoll;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.StartTimer;

/**
 * Simulates discovery with faults for the watch of one node, in simulated time. A poll that opens a
 * watch is queued for up to two seconds. A poll that continues a watch is answered as soon as there
 * is a newer version, or when its wait is over.
 */
final class SimulatedDiscovery {

    /**
     * The faults of discovery: it is unreachable, rejects polls, ignores new polls, never answers
     * the open polls, or moves to another address.
     */
    enum FaultKind {
        UNREACHABLE,
        REJECTS_POLLS,
        IGNORES_NEW_POLLS,
        DROPS_OPEN_POLLS,
        MOVES_ADDRESS
    }

    /**
     * A fault, its start and its duration in microseconds. {@code DROPS_OPEN_POLLS} and {@code
     * MOVES_ADDRESS} happen at one instant, so their duration is ignored.
     */
    record Fault(FaultKind kind, long start, long duration) {
        long end() {
            return kind == FaultKind.DROPS_OPEN_POLLS || kind == FaultKind.MOVES_ADDRESS
                    ? start
                    : start + duration;
        }
    }

    private record ScheduledAction(long at, long order, Runnable action) {}

    private record ReceivedVersion(long at, long address, long version) {}

    private static final long MAX_QUEUE_WAIT_MICROS = 2_000_000;
    private static final long NETWORK_DELAY_MICROS = 2_000;
    private static final long CONTINUATION_MICROS = 200_000;

    private final List<Fault> faults;
    private final List<Long> changes;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledAction> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::at)
                            .thenComparingLong(ScheduledAction::order));
    private final Map<Long, PollDiscovery> openPolls = new HashMap<>();
    private final List<ReceivedVersion> receivedVersions = new ArrayList<>();
    private final List<Long> polls = new ArrayList<>();
    private final StringBuilder log = new StringBuilder();
    private final DiscoveryWatch watch;
    private long now;
    private long order;
    private long address;
    private long answeredAt = -CONTINUATION_MICROS;

    SimulatedDiscovery(List<Fault> faults, List<Long> changes, long seed) {
        this.faults = faults;
        this.changes = changes;
        random = new SplittableRandom(seed);
        watch = new DiscoveryWatch(config(seed), this::perform);
    }

    private static NodeConfig config(long seed) {
        try {
            return NodeConfig.read(
                    new TestConfig()
                            .json()
                            .replace("8c1f30d27a5be964", Long.toHexString(seed))
                            .getBytes(UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    void run(long until) {
        for (Fault fault : faults) {
            at(fault.start(), () -> startFault(fault));
        }
        for (long change : changes) {
            at(change, this::publishChange);
        }
        watch.begin(0);
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            ScheduledAction next = queue.poll();
            now = next.at();
            next.action().run();
        }
    }

    private void at(long time, Runnable action) {
        queue.add(new ScheduledAction(time, order++, action));
    }

    private void logEvent(String event) {
        log.append(System.lineSeparator()).append(now).append(' ').append(event);
    }

    // ---- Discovery ----

    private long changesBy(long instant) {
        return changes.stream().filter(change -> change <= instant).count();
    }

    // Discovery numbers its versions differently at each address.
    private long version(long instant) {
        return (address == 0 ? 41 : 3) + changesBy(instant);
    }

    private boolean hasFault(FaultKind kind) {
        return faults.stream().anyMatch(f -> f.kind() == kind && f.start() <= now && now < f.end());
    }

    private void startFault(Fault fault) {
        logEvent(fault.toString());
        switch (fault.kind()) {
            case UNREACHABLE -> List.copyOf(openPolls.values()).forEach(call -> fail(call, 0));
            case DROPS_OPEN_POLLS -> openPolls.clear();
            case MOVES_ADDRESS -> {
                address++;
                watch.move(now, new Address("127.0.0.1", 9000 + (int) address));
            }
            default -> {}
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof StartTimer timer) {
            at(now + timer.delayMicros(), () -> timerFired(timer.timer()));
        } else if (effect instanceof CancelPoll call) {
            openPolls.remove(call.poll());
        } else if (effect instanceof PollDiscovery call) {
            logEvent(call.toString());
            polls.add(now);
            openPolls.put(call.poll(), call);
            receivePoll(call);
        }
    }

    private void timerFired(Timer timer) {
        if (timer instanceof Timer.PollTimeout due) {
            watch.pollTimedOut(now, due.poll());
        } else if (timer instanceof Timer.NextPoll next) {
            watch.resume(now, next.afterPoll());
        }
    }

    private void receivePoll(PollDiscovery call) {
        if (hasFault(FaultKind.UNREACHABLE) || hasFault(FaultKind.REJECTS_POLLS)) {
            fail(call, NETWORK_DELAY_MICROS);
        } else if (hasFault(FaultKind.IGNORES_NEW_POLLS)) {
            openPolls.remove(call.poll());
        } else {
            long queueWait =
                    now - answeredAt <= CONTINUATION_MICROS
                            ? 0
                            : random.nextLong(MAX_QUEUE_WAIT_MICROS);
            at(
                    now + queueWait + NETWORK_DELAY_MICROS,
                    () -> {
                        if (openPolls.containsKey(call.poll())) {
                            handlePoll(call);
                        }
                    });
        }
    }

    private void handlePoll(PollDiscovery call) {
        if (call.afterVersion() < 0 || version(now) > call.afterVersion()) {
            answer(call);
        } else {
            at(now + call.maxWaitMicros(), () -> answer(call));
        }
    }

    // Answers all watches that wait for a change that has just been made.
    private void publishChange() {
        logEvent("change");
        List.copyOf(openPolls.values()).stream()
                .filter(call -> call.afterVersion() >= 0 && call.afterVersion() < version(now))
                .forEach(this::answer);
    }

    private void fail(PollDiscovery call, long after) {
        openPolls.remove(call.poll());
        at(
                now + after,
                () -> {
                    logEvent("failed " + call.poll());
                    watch.pollFailed(now, call.poll());
                });
    }

    private void answer(PollDiscovery call) {
        if (openPolls.remove(call.poll()) == null) {
            return;
        }
        boolean complete = call.afterVersion() < 0;
        EndpointList list =
                list(version(now), complete, complete || version(now) > call.afterVersion());
        long polledAddress = address;
        at(
                now + NETWORK_DELAY_MICROS,
                () -> {
                    logEvent("answer " + call.poll() + " seq=" + list.version());
                    if (watch.accepts(call.poll(), list)) {
                        receivedVersions.add(
                                new ReceivedVersion(now, polledAddress, list.version()));
                        answeredAt = now;
                        watch.answerAccepted(now, call.poll(), list);
                    } else {
                        watch.answerIgnored(now, call.poll(), list);
                    }
                });
    }

    private static EndpointList list(long seq, boolean complete, boolean changed) {
        try {
            String[] endpoints =
                    changed
                            ? new String[] {endpointJson("s-1", "10.0.0.1:80", "terminating")}
                            : new String[0];
            return EndpointList.read(TestConfig.list(seq, complete, endpoints).getBytes(UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Results ----

    /**
     * The start of the first period, at or after this change, in which discovery is reachable for
     * at least {@code minDuration}.
     */
    long reachableSince(long change, long minDuration) {
        long since = change;
        boolean extended = true;
        while (extended) {
            extended = false;
            for (Fault fault : faults) {
                if (fault.start() < since + minDuration && fault.end() > since) {
                    since = fault.end();
                    extended = true;
                }
            }
        }
        return since;
    }

    /** When the node first received a list with this change. */
    long receivedAt(long change) {
        long count = changesBy(change);
        return receivedVersions.stream()
                .filter(h -> h.version() - (h.address() == 0 ? 41 : 3) >= count)
                .mapToLong(ReceivedVersion::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    List<Long> polls() {
        return polls;
    }

    String log() {
        return log.toString();
    }
}
