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
 * A stand-in for discovery. It returns the full endpoint list or the changes since a version, and
 * supports long polls: a poll for which there is no newer version is held until a change is made or
 * the poll's wait time is over. All state belongs to one event loop.
 */
public final class DiscoveryStandIn implements AutoCloseable {

    // A client that lacks more changes than this gets the full list.
    private static final int MAX_STORED_CHANGES = 4_096;
    private static final String AFTER = "after";
    private static final String WAIT = "wait_ms";

    private record HeldPoll(long after, long poll) {}

    private final EventLoop loop;
    private final Fleet fleet;
    private final HttpListener listener;
    private final Deque<EndpointList> changes = new ArrayDeque<>();

    /** The held poll of each connection. */
    private final Map<Channel, HeldPoll> heldPolls = new HashMap<>();

    private long version;
    private long lastPoll;
    private volatile long lastPolledVersion = -1;

    /** Listens on a free port. From now on, only this event loop may use the fleet. */
    public DiscoveryStandIn(EventLoop loop, Fleet fleet) {
        this.loop = loop;
        this.fleet = fleet;
        version = fleet.fullList().version();
        listener =
                new HttpListener(
                        loop,
                        new HttpListener.Handler() {
                            @Override
                            public void requestReceived(
                                    Channel connection, FullHttpRequest request) {
                                answer(connection, new QueryStringDecoder(request.uri()));
                            }

                            @Override
                            public void connectionClosed(Channel connection) {
                                heldPolls.remove(connection);
                            }
                        });
    }

    /** Returns the address on which this stand-in listens. */
    public Address address() {
        return listener.address();
    }

    /** Returns the traffic since this stand-in was created. */
    public Traffic traffic() {
        return listener.traffic();
    }

    /**
     * Returns the version in the newest poll. The client has applied everything up to this version.
     * -1 stands for a poll without a version, which asks for the full list.
     */
    public long lastPolledVersion() {
        return lastPolledVersion;
    }

    /** Returns the newest version. */
    public long version() {
        return runOnLoop(() -> version);
    }

    /** Makes changes at a constant rate for this time and returns their number. */
    public int change(int perSecond, long seconds) throws InterruptedException {
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
        int total = (int) (perSecond * seconds);
        long nextAt = System.nanoTime();
        for (int count = 0; count < total; count++) {
            nextAt += intervalNanos;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, nextAt - System.nanoTime()));
            makeChange();
        }
        return total;
    }

    /** Makes one change. */
    public void makeChange() {
        runOnLoop(this::change);
    }

    private Void change() {
        EndpointList change = fleet.change();
        version = change.version();
        changes.add(change);
        if (changes.size() > MAX_STORED_CHANGES) {
            changes.remove();
        }
        for (Map.Entry<Channel, HeldPoll> entry : List.copyOf(heldPolls.entrySet())) {
            heldPolls.remove(entry.getKey());
            sendList(entry.getKey(), entry.getValue().after());
        }
        return null;
    }

    private <T> T runOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    // The futures may be ignored: the connection closes after a failed write, and the scheduled
    // task does nothing but write.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answer(Channel connection, QueryStringDecoder poll) {
        if (!poll.path().equals(Paths.ENDPOINTS)) {
            connection.writeAndFlush(
                    HttpListener.response(HttpResponseStatus.NOT_FOUND, new byte[0]));
            return;
        }
        long after = longParameter(poll, AFTER, -1);
        long waitMs = longParameter(poll, WAIT, 0);
        lastPolledVersion = after;
        if (after < version || waitMs == 0) {
            sendList(connection, after);
            return;
        }
        HeldPoll held = new HeldPoll(after, ++lastPoll);
        heldPolls.put(connection, held);
        loop.schedule(
                () -> {
                    if (heldPolls.remove(connection, held)) {
                        sendList(connection, after);
                    }
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private static long longParameter(QueryStringDecoder poll, String name, long defaultValue) {
        List<String> values = poll.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? defaultValue : Long.parseLong(values.get(0));
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void sendList(Channel connection, long after) {
        connection.writeAndFlush(HttpListener.response(HttpResponseStatus.OK, list(after).json()));
    }

    private EndpointList list(long after) {
        long oldestStored = changes.isEmpty() ? version + 1 : changes.peek().version();
        if (after < 0 || after > version || (after < version && after < oldestStored - 1)) {
            return fleet.fullList();
        }
        Map<String, DiscoveredEndpoint> latestByName = new LinkedHashMap<>();
        changes.stream()
                .filter(change -> change.version() > after)
                .forEach(
                        change ->
                                change.endpoints()
                                        .forEach(
                                                endpoint ->
                                                        latestByName.put(
                                                                endpoint.name(), endpoint)));
        return new EndpointList(version, false, new ArrayList<>(latestByName.values()));
    }

    @Override
    public void close() {
        listener.close();
    }
}
