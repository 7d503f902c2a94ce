// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.control.config.ControlProcessConfig;
import ottergauge.control.config.ServerLimits;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.SharedLog;

/**
 * The HTTP server of a control process. One event loop owns all of its state; changes are applied
 * by the consensus' thread, which wakes the calls that wait for them.
 */
public final class ControlServer {

    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);

    private static final String CHANGES_PATH = "/control/v1/changes";
    private static final String SNAPSHOT_PATH = "/control/v1/snapshot";
    private static final String STATUS_PATH = "/control/v1/status";

    private static final int MAX_REQUEST_LINE_BYTES = 64 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1_024;

    /** Of one connection: what a client doesn't read is held by the system, up to this. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final long STOP_TIMEOUT_MS = 3_000;
    private static final long STOP_POLL_INTERVAL_MS = 10;

    private final ControlProcessConfig config;
    private final SharedLog log;
    private final Consensus consensus;
    private final Vertx vertx;
    private final Context context;
    private final ConnectionTracker connections;
    private final PendingPolls polls;
    private final SnapshotQueue snapshots;
    private final SubmissionHandler publishing;
    private final NodeStatusTable nodes = new NodeStatusTable();
    private final RateLimitedLogger warnings =
            new RateLimitedLogger(LOG::warn, ControlServer::nowMs);
    private final AtomicBoolean wakes = new AtomicBoolean();
    private HttpServer server;
    private boolean stopping;

    /** A server that doesn't listen yet. */
    public ControlServer(ControlProcessConfig config, SharedLog log, Consensus consensus) {
        this.config = config;
        this.log = log;
        this.consensus = consensus;
        // Addresses are numbers: nothing is asked of DNS. No files: nothing is served from any.
        System.setProperty("vertx.disableDnsResolver", "true");
        vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(1)
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1)
                                .setFileSystemOptions(
                                        new FileSystemOptions()
                                                .setClassPathResolvingEnabled(false)
                                                .setFileCachingEnabled(false)));
        context = vertx.getOrCreateContext();
        ServerLimits limits = config.serverLimits();
        Timers timers = new VertxTimers(vertx);
        connections =
                new ConnectionTracker(limits.connections(), limits.idleMs(), limits.slowReaderMs());
        polls = new PendingPolls(log, timers, limits.maxPendingPolls());
        snapshots =
                new SnapshotQueue(
                        log, timers, ControlServer::nowMicros, limits.snapshotBytesPerSecond());
        publishing = new SubmissionHandler(consensus, context, warnings);
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Listens; the future says whether the address could be had. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(
                run -> {
                    log.onChange(this::wake);
                    vertx.setPeriodic(
                            SWEEP_INTERVAL_MS, sweep -> connections.closeOverdue(nowMs()));
                    server =
                            vertx.createHttpServer(options())
                                    .connectionHandler(
                                            connection -> connections.opened(connection, nowMs()))
                                    .invalidRequestHandler(this::rejectMalformed)
                                    .exceptionHandler(e -> LOG.debug("a connection failed", e))
                                    .requestHandler(this::handle);
                    server.listen()
                            .<Void>mapEmpty()
                            .onSuccess(
                                    listening ->
                                            LOG.info(
                                                    "{} listens on {}",
                                                    config.name(),
                                                    config.listen()))
                            .onComplete(started);
                });
        return started.future();
    }

    private HttpServerOptions options() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(config.listen().host())
                        .setPort(config.listen().port())
                        .setHttp2ClearTextEnabled(false)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES);
        options.setAcceptBacklog(BACKLOG).setTcpNoDelay(true).setSendBufferSize(SEND_BUFFER_BYTES);
        return options;
    }

    // Called by the thread that applied a change: several changes at once wake the calls once.
    private void wake() {
        if (wakes.compareAndSet(false, true)) {
            context.runOnContext(
                    run -> {
                        wakes.set(false);
                        polls.wake();
                    });
        }
    }

    private void rejectMalformed(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        int status =
                cause instanceof TooLongHttpLineException
                        ? HttpStatus.URI_TOO_LONG
                        : cause instanceof TooLongHttpHeaderException
                                ? HttpStatus.HEADERS_TOO_LARGE
                                : HttpStatus.BAD_REQUEST;
        refuse(
                exchange(request),
                new HttpException(
                        status,
                        "no request that can be read: "
                                + (cause == null ? "" : cause.getClass().getSimpleName())));
    }

    private HttpExchange exchange(HttpServerRequest request) {
        HttpExchange exchange = new HttpExchange(request, connections, ControlServer::nowMs);
        return stopping ? exchange.closing() : exchange;
    }

    private void refuse(HttpExchange exchange, HttpException reason) {
        warnings.warn(
                "a call from "
                        + exchange.request().remoteAddress()
                        + " is refused: "
                        + reason.getMessage());
        exchange.closing().answer(reason.status(), ErrorJson.of(reason.getMessage()));
    }

    private void handle(HttpServerRequest request) {
        HttpExchange exchange = exchange(request);
        try {
            dispatch(exchange);
        } catch (HttpException e) {
            refuse(exchange, e);
        } catch (RuntimeException e) {
            LOG.error("a call failed: {}", e.toString(), e);
            exchange.closing().answer(HttpStatus.BAD_REQUEST, ErrorJson.of("the call failed"));
        }
    }

    private void dispatch(HttpExchange exchange) throws HttpException {
        HttpServerRequest request = exchange.request();
        String path = request.path() == null ? "" : request.path();
        boolean post = request.method().equals(HttpMethod.POST);
        if (!post && !request.method().equals(HttpMethod.GET)) {
            throw notFound();
        }
        if (post && path.equals(CHANGES_PATH)) {
            publish(exchange);
        } else if (post) {
            throw notFound();
        } else {
            RequestBody.refuseAny(request);
            connections.called(request.connection(), nowMs());
            answer(exchange, path);
        }
    }

    private static HttpException notFound() {
        return new HttpException(HttpStatus.NOT_FOUND, "no such call");
    }

    private void answer(HttpExchange exchange, String path) throws HttpException {
        switch (path) {
            case CHANGES_PATH -> changes(exchange);
            case SNAPSHOT_PATH -> snapshot(exchange);
            case STATUS_PATH -> status(exchange);
            default -> throw notFound();
        }
    }

    private void changes(HttpExchange exchange) throws HttpException {
        ChangesRequest call = QueryParameters.changes(exchange.request());
        call.report().ifPresent(report -> nodes.heard(report, nowMs()));
        if (hasLog(exchange)) {
            polls.take(exchange, call);
        }
    }

    private void snapshot(HttpExchange exchange) throws HttpException {
        SnapshotRequest call = QueryParameters.snapshot(exchange.request());
        if (hasLog(exchange)) {
            snapshots.take(exchange, call);
        }
    }

    private boolean hasLog(HttpExchange exchange) {
        if (log.position().isEmpty()) {
            exchange.unavailable(ErrorJson.STARTING);
            return false;
        }
        return true;
    }

    private void status(HttpExchange exchange) {
        long oldest = log.position().isEmpty() ? 0 : log.oldest();
        long now = nowMs();
        exchange.answer(
                HttpStatus.OK,
                StatusJson.of(
                        config.name(),
                        consensus.role(),
                        consensus.leader(),
                        log.position(),
                        oldest,
                        nodes.recent(now),
                        now));
    }

    private void publish(HttpExchange exchange) throws HttpException {
        RequestBody.read(
                exchange.request(),
                body -> submit(exchange, body),
                reason -> refuse(exchange, reason));
    }

    private void submit(HttpExchange exchange, Buffer body) {
        connections.called(exchange.request().connection(), nowMs());
        if (stopping) {
            exchange.unavailable(ErrorJson.STOPPING);
        } else if (hasLog(exchange)) {
            publishing.take(exchange, body.getBytes());
        }
    }

    /** Answers what waits and ends, within a bounded time. */
    public Future<Void> stop() {
        Promise<Void> stopped = Promise.promise();
        context.runOnContext(
                run -> {
                    stopping = true;
                    polls.stop();
                    snapshots.stop();
                    awaitSubmissions(nowMs() + STOP_TIMEOUT_MS, stopped);
                });
        return stopped.future();
    }

    private void awaitSubmissions(long untilMs, Promise<Void> stopped) {
        if (publishing.open() > 0 && nowMs() < untilMs) {
            vertx.setTimer(STOP_POLL_INTERVAL_MS, look -> awaitSubmissions(untilMs, stopped));
            return;
        }
        Future<Void> closed =
                server == null
                        ? Future.succeededFuture()
                        : server.shutdown(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        closed.onComplete(done -> vertx.close().onComplete(stopped));
    }
}
