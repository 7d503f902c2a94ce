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
 * One node's watch and a discovery that troubles befall, on made-up time. New watches stand in a
 * line for up to two seconds; one that goes on is answered as soon as there is something newer, or
 * its wait is over.
 */
final class SimulatedDiscovery {

    /**
     * What may befall discovery: it is away, turns away, swallows new calls, or open calls fall
     * silent.
     */
    enum Trouble {
        AWAY,
        TURNS_AWAY,
        SWALLOWS,
        SILENT,
        MOVES
    }

    /** A trouble and its time; silence and moves happen at an instant. */
    record Fault(Trouble what, long from, long length) {
        long until() {
            return what == Trouble.SILENT || what == Trouble.MOVES ? from : from + length;
        }
    }

    private record Due(long at, long order, Runnable what) {}

    private record Had(long at, long address, long version) {}

    private static final long LINE = 2_000_000;
    private static final long TRIP = 2_000;
    private static final long GOES_ON = 200_000;

    private final List<Fault> faults;
    private final List<Long> changes;
    private final SplittableRandom random;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Map<Long, PollDiscovery> open = new HashMap<>();
    private final List<Had> had = new ArrayList<>();
    private final List<Long> calls = new ArrayList<>();
    private final StringBuilder log = new StringBuilder();
    private final DiscoveryWatch watch;
    private long now;
    private long order;
    private long address;
    private long answeredAt = -GOES_ON;

    SimulatedDiscovery(List<Fault> faults, List<Long> changes, long seed) {
        this.faults = faults;
        this.changes = changes;
        random = new SplittableRandom(seed);
        watch = new DiscoveryWatch(config(seed), this::carryOut);
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
            at(fault.from(), () -> begins(fault));
        }
        for (long change : changes) {
            at(change, this::tell);
        }
        watch.begin(0);
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            Due due = queue.poll();
            now = due.at();
            due.what().run();
        }
    }

    private void at(long when, Runnable what) {
        queue.add(new Due(when, order++, what));
    }

    private void note(String what) {
        log.append(System.lineSeparator()).append(now).append(' ').append(what);
    }

    // ---- Discovery
    // ----------------------------------------------------------------------------------

    private long changesBy(long instant) {
        return changes.stream().filter(change -> change <= instant).count();
    }

    // Versions of one address need not be those of another.
    private long version(long instant) {
        return (address == 0 ? 41 : 3) + changesBy(instant);
    }

    private boolean is(Trouble what) {
        return faults.stream()
                .anyMatch(f -> f.what() == what && f.from() <= now && now < f.until());
    }

    private void begins(Fault fault) {
        note(fault.toString());
        switch (fault.what()) {
            case AWAY -> List.copyOf(open.values()).forEach(call -> fail(call, 0));
            case SILENT -> open.clear();
            case MOVES -> {
                address++;
                watch.move(now, new Address("127.0.0.1", 9000 + (int) address));
            }
            default -> {}
        }
    }

    private void carryOut(Effect effect) {
        if (effect instanceof StartTimer timer) {
            at(now + timer.delayMicros(), () -> fired(timer.timer()));
        } else if (effect instanceof CancelPoll call) {
            open.remove(call.poll());
        } else if (effect instanceof PollDiscovery call) {
            note(call.toString());
            calls.add(now);
            open.put(call.poll(), call);
            taken(call);
        }
    }

    private void fired(Timer timer) {
        if (timer instanceof Timer.PollTimeout due) {
            watch.pollTimedOut(now, due.poll());
        } else if (timer instanceof Timer.NextPoll next) {
            watch.resume(now, next.afterPoll());
        }
    }

    private void taken(PollDiscovery call) {
        if (is(Trouble.AWAY) || is(Trouble.TURNS_AWAY)) {
            fail(call, TRIP);
        } else if (is(Trouble.SWALLOWS)) {
            open.remove(call.poll());
        } else {
            long line = now - answeredAt <= GOES_ON ? 0 : random.nextLong(LINE);
            at(
                    now + line + TRIP,
                    () -> {
                        if (open.containsKey(call.poll())) {
                            turn(call);
                        }
                    });
        }
    }

    private void turn(PollDiscovery call) {
        if (call.afterVersion() < 0 || version(now) > call.afterVersion()) {
            answer(call);
        } else {
            at(now + call.maxWaitMicros(), () -> answer(call));
        }
    }

    // A change is there: all watches that wait for it are answered.
    private void tell() {
        note("change");
        List.copyOf(open.values()).stream()
                .filter(call -> call.afterVersion() >= 0 && call.afterVersion() < version(now))
                .forEach(this::answer);
    }

    private void fail(PollDiscovery call, long after) {
        open.remove(call.poll());
        at(
                now + after,
                () -> {
                    note("failed " + call.poll());
                    watch.pollFailed(now, call.poll());
                });
    }

    private void answer(PollDiscovery call) {
        if (open.remove(call.poll()) == null) {
            return;
        }
        boolean whole = call.afterVersion() < 0;
        EndpointList list = list(version(now), whole, whole || version(now) > call.afterVersion());
        long from = address;
        at(
                now + TRIP,
                () -> {
                    note("answer " + call.poll() + " seq=" + list.version());
                    if (watch.accepts(call.poll(), list)) {
                        had.add(new Had(now, from, list.version()));
                        answeredAt = now;
                        watch.answerAccepted(now, call.poll(), list);
                    } else {
                        watch.answerIgnored(now, call.poll(), list);
                    }
                });
    }

    private static EndpointList list(long seq, boolean whole, boolean news) {
        try {
            String[] hosts =
                    news
                            ? new String[] {endpointJson("s-1", "10.0.0.1:80", "terminating")}
                            : new String[0];
            return EndpointList.read(TestConfig.list(seq, whole, hosts).getBytes(UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- What came of it
    // ----------------------------------------------------------------------------

    /**
     * From when on discovery could be reached by a node that is to know what was changed at this
     * instant.
     */
    long reachable(long change, long within) {
        long from = change;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Fault fault : faults) {
                if (fault.from() < from + within && fault.until() > from) {
                    from = fault.until();
                    moved = true;
                }
            }
        }
        return from;
    }

    /** When the node first had a list with this change. */
    long hadAt(long change) {
        long count = changesBy(change);
        return had.stream()
                .filter(h -> h.version() - (h.address() == 0 ? 41 : 3) >= count)
                .mapToLong(Had::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    List<Long> calls() {
        return calls;
    }

    String log() {
        return log.toString();
    }
}
