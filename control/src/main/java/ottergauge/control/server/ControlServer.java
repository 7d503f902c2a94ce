// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.control.config.ControlProcessConfig;
import ottergauge.control.config.ServerLimits;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.SharedLog;

/**
 * The HTTP server of a control process. One event loop owns all of its state. The consensus thread
 * applies changes and notifies the event loop, which then responds to the pending polls.
 */
public final class ControlServer {

    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);

    private static final int MAX_REQUEST_LINE_BYTES = 64 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * The size in bytes of each connection's send buffer in the kernel, which holds response data
     * until the client reads it.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final long STOP_TIMEOUT_MS = 3_000;
    private static final long STOP_POLL_INTERVAL_MS = 10;

    private final ControlProcessConfig config;
    private final SharedLog log;
    private final Vertx vertx;
    private final Context context;
    private final ConnectionTracker connections;
    private final PendingPolls polls;
    private final SubmissionHandler submissions;
    private final RequestDispatcher dispatcher;
    private final AtomicBoolean notificationPending = new AtomicBoolean();
    private HttpServer server;

    /** Creates a server that doesn't listen yet. */
    public ControlServer(ControlProcessConfig config, SharedLog log, Consensus consensus) {
        this.config = config;
        this.log = log;
        vertx = newVertx();
        context = vertx.getOrCreateContext();
        ServerLimits limits = config.serverLimits();
        Timers timers = new VertxTimers(vertx);
        RateLimitedLogger warnings = new RateLimitedLogger(LOG::warn, ControlServer::nowMs);
        connections =
                new ConnectionTracker(
                        limits.maxConnections(),
                        limits.idleTimeoutMs(),
                        limits.slowReaderTimeoutMs());
        polls = new PendingPolls(log, timers, limits.maxPendingPolls());
        submissions = new SubmissionHandler(consensus, context, warnings);
        SnapshotQueue snapshots =
                new SnapshotQueue(
                        log, timers, ControlServer::nowMicros, limits.snapshotBytesPerSecond());
        dispatcher =
                new RequestDispatcher(
                        config.name(),
                        log,
                        consensus,
                        new RequestDispatcher.Handlers(polls, snapshots, submissions),
                        connections,
                        warnings,
                        ControlServer::nowMs);
    }

    private static Vertx newVertx() {
        // Addresses are numeric, and the server serves no files.
        System.setProperty("vertx.disableDnsResolver", "true");
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(
                                new FileSystemOptions()
                                        .setClassPathResolvingEnabled(false)
                                        .setFileCachingEnabled(false)));
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Starts listening. The future fails if the address can't be bound. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(run -> listen(started));
        return started.future();
    }

    private void listen(Promise<Void> started) {
        log.onChange(this::notifyPolls);
        vertx.setPeriodic(SWEEP_INTERVAL_MS, sweep -> connections.closeOverdue(nowMs()));
        server =
                vertx.createHttpServer(options())
                        .connectionHandler(connection -> connections.opened(connection, nowMs()))
                        .invalidRequestHandler(dispatcher::rejectMalformed)
                        .exceptionHandler(e -> LOG.debug("connection failed", e))
                        .requestHandler(dispatcher::handle);
        server.listen()
                .<Void>mapEmpty()
                .onSuccess(
                        listening -> LOG.info("{} listening on {}", config.name(), config.listen()))
                .onComplete(started);
    }

    private HttpServerOptions options() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(config.listen().host())
                        .setPort(config.listen().port())
                        .setHttp2ClearTextEnabled(false)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES);
        options.setAcceptBacklog(ACCEPT_BACKLOG)
                .setTcpNoDelay(true)
                .setSendBufferSize(SEND_BUFFER_BYTES);
        return options;
    }

    // Called on the thread that applied a change. A burst of changes notifies the event loop only
    // once.
    private void notifyPolls() {
        if (notificationPending.compareAndSet(false, true)) {
            context.runOnContext(
                    run -> {
                        notificationPending.set(false);
                        polls.logChanged();
                    });
        }
    }

    /**
     * Stops the server within a bounded time. Responds to pending polls and snapshot requests at
     * once, and waits for the outcomes of pending submissions, for at most {@code STOP_TIMEOUT_MS}.
     */
    public Future<Void> stop() {
        Promise<Void> stopped = Promise.promise();
        context.runOnContext(
                run -> {
                    dispatcher.stop();
                    awaitSubmissions(nowMs() + STOP_TIMEOUT_MS, stopped);
                });
        return stopped.future();
    }

    private void awaitSubmissions(long deadlineMs, Promise<Void> stopped) {
        if (submissions.pending() > 0 && nowMs() < deadlineMs) {
            vertx.setTimer(STOP_POLL_INTERVAL_MS, poll -> awaitSubmissions(deadlineMs, stopped));
            return;
        }
        Future<Void> closed =
                server == null
                        ? Future.succeededFuture()
                        : server.shutdown(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        closed.onComplete(done -> vertx.close().onComplete(stopped));
    }
}
