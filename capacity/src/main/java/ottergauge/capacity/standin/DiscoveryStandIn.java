// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import ottergauge.capacity.workload.Fleet;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.Paths;

/**
 * Stands in for discovery: tells a fleet's list whole, or the changes after a version, and keeps a
 * call that has nothing to be told until a change comes or its wait is over. All of it runs on one
 * event loop.
 */
public final class DiscoveryStandIn implements AutoCloseable {

    // A watch that falls behind by more changes than this is told the whole list.
    private static final int MOST_KEPT = 4_096;
    private static final String AFTER = "after";
    private static final String WAIT = "wait_ms";

    private record Waiting(long after, long call) {}

    private final EventLoop loop;
    private final Fleet fleet;
    private final HttpListener listener;
    private final Deque<EndpointList> changes = new ArrayDeque<>();

    /** The call that waits on each connection. */
    private final Map<Channel, Waiting> waiting = new HashMap<>();

    private long version;
    private long lastCall;
    private volatile long askedAfter = -1;

    /** Listens on a free port; the fleet is used on this loop alone from now on. */
    public DiscoveryStandIn(EventLoop loop, Fleet fleet) {
        this.loop = loop;
        this.fleet = fleet;
        version = fleet.whole().version();
        listener =
                new HttpListener(
                        loop,
                        new HttpListener.Handler() {
                            @Override
                            public void asked(Channel connection, FullHttpRequest request) {
                                answer(connection, new QueryStringDecoder(request.uri()));
                            }

                            @Override
                            public void ended(Channel connection) {
                                waiting.remove(connection);
                            }
                        });
    }

    /** Where it listens. */
    public Address address() {
        return listener.address();
    }

    /** What it was asked so far. */
    public Traffic traffic() {
        return listener.traffic();
    }

    /**
     * The version that the latest call asked from: what came up to it was taken; -1 for the whole
     * list.
     */
    public long askedAfter() {
        return askedAfter;
    }

    /** The newest version. */
    public long version() {
        return onLoop(() -> version);
    }

    /** Makes changes at an even rate for some time; gives back how many. */
    public int change(int perSecond, long seconds) throws InterruptedException {
        long every = TimeUnit.SECONDS.toNanos(1) / perSecond;
        int count = (int) (perSecond * seconds);
        long next = System.nanoTime();
        for (int made = 0; made < count; made++) {
            next += every;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
            changeNow();
        }
        return count;
    }

    /** Makes one change. */
    public void changeNow() {
        onLoop(this::change);
    }

    private Void change() {
        EndpointList change = fleet.change();
        version = change.version();
        changes.add(change);
        if (changes.size() > MOST_KEPT) {
            changes.remove();
        }
        for (Map.Entry<Channel, Waiting> each : List.copyOf(waiting.entrySet())) {
            waiting.remove(each.getKey());
            tell(each.getKey(), each.getValue().after());
        }
        return null;
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    // A failed write shows as the end of its connection; the scheduled task only writes.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answer(Channel connection, QueryStringDecoder call) {
        if (!call.path().equals(Paths.ENDPOINTS)) {
            connection.writeAndFlush(
                    HttpListener.response(HttpResponseStatus.NOT_FOUND, new byte[0]));
            return;
        }
        long after = number(call, AFTER, -1);
        long waitMs = number(call, WAIT, 0);
        askedAfter = after;
        if (after < version || waitMs == 0) {
            tell(connection, after);
            return;
        }
        Waiting held = new Waiting(after, ++lastCall);
        waiting.put(connection, held);
        loop.schedule(
                () -> {
                    if (waiting.remove(connection, held)) {
                        tell(connection, after);
                    }
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private static long number(QueryStringDecoder call, String name, long absent) {
        List<String> values = call.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? absent : Long.parseLong(values.get(0));
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void tell(Channel connection, long after) {
        connection.writeAndFlush(HttpListener.response(HttpResponseStatus.OK, list(after).json()));
    }

    private EndpointList list(long after) {
        long oldest = changes.isEmpty() ? version + 1 : changes.peek().version();
        if (after < 0 || after > version || (after < version && after < oldest - 1)) {
            return fleet.whole();
        }
        Map<String, DiscoveredEndpoint> newest = new LinkedHashMap<>();
        changes.stream()
                .filter(change -> change.version() > after)
                .forEach(
                        change ->
                                change.endpoints().forEach(host -> newest.put(host.name(), host)));
        return new EndpointList(version, false, new ArrayList<>(newest.values()));
    }

    @Override
    public void close() {
        listener.close();
    }
}
