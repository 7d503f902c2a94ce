// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.eventlog.EventLog.ClientAttempt;
import ottergauge.lab.eventlog.EventLog.ClientRequest;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.Effect;
import ottergauge.lab.scenario.Scenario.RequestClass;

/**
 * Generates the requests of all clients. The load is open-loop: each request starts at its planned
 * time, whatever happens to other requests, and is retried as its client would retry it. After a
 * timeout the client keeps the connection open for a while, so that a response that arrives too
 * late is recorded.
 */
public final class LoadGenerator {

    // How long, in microseconds, a client keeps a connection open after the timeout; a response
    // that has not arrived by then counts as lost.
    private static final long LATE_RESPONSE_WINDOW = 1_500_000;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MS = 1_000;

    private final Loop loop;
    private final Scenario scenario;
    private final EventLog eventLog;
    private final NodeConnector connector;
    private final FrontEnd frontEnd;
    private final List<Deque<Connection>> idleConnections = new ArrayList<>();
    private final boolean[] nodeDown;
    private final SplittableRandom random;
    private long lastId;
    private boolean finished;

    /** Creates the clients; {@code nodes} and {@code links} have one entry for each node. */
    public LoadGenerator(
            Loop loop,
            Scenario scenario,
            EventLog eventLog,
            List<InetSocketAddress> nodes,
            List<Link> links) {
        this.loop = loop;
        this.scenario = scenario;
        this.eventLog = eventLog;
        connector = new NodeConnector(loop, nodes, links);
        frontEnd =
                new FrontEnd(
                        loop,
                        connector,
                        eventLog,
                        nodes.size(),
                        scenario.nodes().firstNodeWeight(),
                        scenario.clients().noticeDelay(),
                        scenario.seed());
        random = new SplittableRandom(scenario.seed() + 1);
        nodeDown = new boolean[nodes.size() + 1];
        for (int node = 0; node <= nodes.size(); node++) {
            idleConnections.add(new ArrayDeque<>());
        }
    }

    /**
     * Records whether a node's process is running. A connection that ends while the node is down is
     * a failure, not an idle connection that the node closed between two requests.
     */
    public void setAlive(int node, boolean alive) {
        nodeDown[node] = !alive;
    }

    /** Starts the periodic readiness checks of all nodes. */
    public void checkReadiness() {
        frontEnd.begin();
    }

    public boolean allReady() {
        return frontEnd.allNodesReady();
    }

    /** Starts the load; the times in {@code workload} are relative to this call. */
    public void begin(List<Workload.Request> workload) {
        next(workload, 0);
    }

    private void next(List<Workload.Request> workload, int index) {
        if (index < workload.size() && !finished) {
            loop.at(
                    workload.get(index).at(),
                    () -> {
                        next(workload, index + 1);
                        arrive(workload.get(index));
                    });
        }
    }

    /** Starts no more requests and closes the idle connections. */
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void end() {
        finished = true;
        frontEnd.end();
        idleConnections.forEach(each -> each.forEach(connection -> connection.channel.close()));
    }

    private void arrive(Workload.Request planned) {
        ClientRequest request =
                new ClientRequest(
                        planned.number(),
                        planned.requestClass(),
                        planned.tenant(),
                        planned.at(),
                        planned.work());
        eventLog.requests.add(request);
        startAttempt(request, planned, 0);
    }

    private void startAttempt(ClientRequest request, Workload.Request planned, int retryNumber) {
        RequestClass type = scenario.classes().get(request.requestClass);
        long remaining = request.intendedAt + type.deadline() - loop.now();
        long timeout =
                Math.min(
                        remaining,
                        (long) (scenario.clients().attemptTimeoutFraction() * type.deadline()));
        if (timeout < MS || finished) {
            return;
        }
        int node = frontEnd.chooseNode();
        ClientAttempt attempt =
                new ClientAttempt(
                        request,
                        String.format("%08x%08x", scenario.seed() & 0xffffffffL, ++lastId),
                        node,
                        timeout / MS * MS);
        request.clientAttempts.add(attempt);
        eventLog.clientAttempts.put(attempt.id, attempt);
        if (node == 0) {
            finished(attempt, planned, retryNumber, EventLog.NO_CONNECTION);
            return;
        }
        Call call = new Call(attempt, planned, retryNumber);
        Connection pooled = idleConnections.get(node).pollLast();
        if (pooled != null) {
            pooled.send(call);
        } else {
            connect(call);
        }
        loop.after(timeout, () -> onTimeout(call));
        if (planned.abandonFraction() >= 0) {
            loop.after((long) (planned.abandonFraction() * timeout), () -> abandon(call));
        }
    }

    // The client closes its connection and does not retry.
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void abandon(Call call) {
        if (!call.settled && call.usedConnection != null && call.usedConnection.call == call) {
            call.settled = true;
            call.attempt.clientClosedAt = loop.now();
            call.usedConnection.channel.close();
        }
    }

    private void connect(Call call) {
        Connection connection = new Connection(call.attempt.node);
        connection.call = call;
        call.attempt.firstOnConnection = true;
        connector
                .connect(call.attempt.node, connection)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                connection.call = null;
                                finished(
                                        call.attempt,
                                        call.planned,
                                        call.retryNumber,
                                        EventLog.NO_CONNECTION);
                            }
                        });
    }

    // One attempt in progress. If the node closes the pooled connection before it responds, the
    // client sends the request again on a new connection.
    private final class Call {
        private final ClientAttempt attempt;
        private final Workload.Request planned;
        private final int retryNumber;
        private boolean settled;
        private Connection usedConnection;

        Call(ClientAttempt attempt, Workload.Request planned, int retryNumber) {
            this.attempt = attempt;
            this.planned = planned;
            this.retryNumber = retryNumber;
        }

        FullHttpRequest message() {
            RequestClass type = scenario.classes().get(attempt.request.requestClass);
            boolean safe = type.effect() == Effect.SAFE;
            FullHttpRequest message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            safe ? HttpMethod.GET : HttpMethod.POST,
                            "/api/" + planned.key(),
                            safe
                                    ? Unpooled.EMPTY_BUFFER
                                    : Unpooled.copiedBuffer("asks", StandardCharsets.UTF_8));
            message.headers()
                    .set(HttpHeaderNames.HOST, "lab")
                    .set("X-Trace-Id", attempt.id)
                    .set("X-Qos", type.name())
                    .set("X-Expires-In-Ms", attempt.timeout / MS);
            if (!safe) {
                HttpUtil.setContentLength(message, message.content().readableBytes());
            }
            if (type.effect() == Effect.KEYED) {
                message.headers()
                        .set(
                                "Idempotency-Key",
                                String.format(
                                        "%016x%016x", scenario.seed(), attempt.request.number));
            }
            if (retryNumber > 0 && scenario.clients().marksRetry()) {
                message.headers().set("X-Second-Try", "1");
            }
            if (attempt.request.tenant >= 0) {
                message.headers()
                        .set("X-Tenant", scenario.tenants().get(attempt.request.tenant).name());
            }
            return message;
        }
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void onTimeout(Call call) {
        if (call.attempt.answeredAt < 0) {
            call.attempt.timedOutAt = loop.now();
            finished(call.attempt, call.planned, call.retryNumber, EventLog.PENDING);
            call.settled = true;
            loop.after(
                    LATE_RESPONSE_WINDOW,
                    () -> {
                        if (call.usedConnection != null && call.usedConnection.call == call) {
                            call.usedConnection.channel.close();
                        }
                    });
        }
    }

    // Records the result of an attempt and schedules a retry if its client retries.
    private void finished(
            ClientAttempt attempt, Workload.Request planned, int retryNumber, int status) {
        if (status != EventLog.PENDING) {
            attempt.status = status;
            attempt.answeredAt = loop.now();
        }
        if (status == 200 || retryNumber >= scenario.clients().maxRetries() || finished) {
            return;
        }
        RequestClass type = scenario.classes().get(attempt.request.requestClass);
        boolean notExecuted =
                status == UNAVAILABLE
                        || status == TOO_MANY_REQUESTS
                        || status == EventLog.NO_CONNECTION;
        if (type.effect() == Effect.UNSAFE && !notExecuted) {
            return;
        }
        long wait =
                planned.followsRetryAfter() && attempt.retryAfter >= 0
                        ? Math.min(attempt.retryAfter, scenario.platform().maxRetryAfter())
                        : scenario.clients().retryPause();
        // Adds random jitter, since real clients do not all retry at the same time.
        loop.after(
                wait + random.nextLong(wait / 10 + 2_000),
                () -> startAttempt(attempt.request, planned, retryNumber + 1));
    }

    // A connection to a node; it carries one request at a time.
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int node;
        private Channel channel;
        private Call call;

        Connection(int node) {
            this.node = node;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (call != null) {
                send(call);
            }
        }

        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        void send(Call next) {
            call = next;
            next.usedConnection = this;
            next.attempt.sentAt = loop.now();
            channel.writeAndFlush(next.message());
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call completed = call;
            if (completed == null) {
                ctx.close();
                return;
            }
            call = null;
            ClientAttempt attempt = completed.attempt;
            attempt.responses++;
            int status = response.status().code();
            String after = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            if (after != null) {
                attempt.retryAfter = Math.round(Double.parseDouble(after) * 1e6);
            }
            attempt.bodyMatches =
                    status != 200
                            || response.content()
                                    .toString(StandardCharsets.UTF_8)
                                    .equals("made for " + attempt.id);
            boolean keepAlive = HttpUtil.isKeepAlive(response);
            if (completed.settled) {
                attempt.status = status;
                attempt.answeredAt = loop.now();
            } else {
                completed.settled = true;
                finished(attempt, completed.planned, completed.retryNumber, status);
            }
            if (keepAlive && !finished) {
                idleConnections.get(node).add(this);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.get(node).remove(this);
            Call interrupted = call;
            call = null;
            if (interrupted == null) {
                return;
            }
            if (!interrupted.attempt.firstOnConnection
                    && !interrupted.settled
                    && !nodeDown[node]
                    && !finished) {
                // The node closed an idle connection, probably before it received the request. The
                // client sends the request again on a new connection.
                connect(interrupted);
            } else if (interrupted.settled) {
                if (interrupted.attempt.answeredAt < 0) {
                    interrupted.attempt.status = EventLog.CONNECTION_LOST;
                }
            } else {
                interrupted.settled = true;
                finished(
                        interrupted.attempt,
                        interrupted.planned,
                        interrupted.retryNumber,
                        EventLog.CONNECTION_LOST);
            }
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
