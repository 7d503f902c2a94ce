// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.Content;
import ottergauge.protocol.Paths;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event;
import ottergauge.routing.Event.BodyBufferGrown;
import ottergauge.routing.Event.BodyProgress;
import ottergauge.routing.Event.ClientClosed;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.HealthRequested;
import ottergauge.routing.Event.InvalidRequest;
import ottergauge.routing.Event.RequestBodyFlowChanged;
import ottergauge.routing.Event.RequestHeadReceived;
import ottergauge.routing.Event.RequestHeadStarted;
import ottergauge.routing.Event.RequestReceived;
import ottergauge.routing.Event.ResponseWritten;
import ottergauge.routing.Event.StreamedRequestCompleted;
import ottergauge.routing.Event.StreamedRequestStarted;

/**
 * A client's connection. It carries one request at a time. A request is reported to the router once
 * it has arrived completely and no bytes followed it. A request whose body is too large to be
 * buffered is reported as streamed, before it has arrived completely.
 */
final class ClientConnection extends Connection {

    private enum Stage {
        AWAITING_HEAD,
        BUFFERING_BODY,
        STREAMING_BODY,
        /**
         * The last part of the request has been handled, but not yet the end of the read that
         * brought it.
         */
        RECEIVED,
        AWAITING_RESPONSE,
        /** The connection is about to be closed; further input is ignored. */
        ENDING
    }

    /** Smaller buffers take little memory, even one for each connection. */
    private static final int MIN_REPORTED_BUFFER_BYTES = 4 * 1024;

    private static final int NO_ATTEMPT = -1;
    private static final long NOT_RELAYING = -1;

    private static final long PROGRESS_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * The time between the shutdown of the output and the close. A client that is still sending can
     * notice the response meanwhile.
     */
    private static final long LINGER_MS = 1_000;

    /**
     * The operating system's buffer for a streamed response. It takes more only after a third of
     * the buffer has been sent. A buffer that grew to megabytes would hide for longer than the
     * stall timeout that a client reads slowly.
     */
    private static final int STREAM_SEND_BUFFER_BYTES = 256 * 1024;

    private final long number;
    private final HttpFraming.RequestDecoder decoder;
    private final EventLoopMonitor monitor;

    /**
     * The earliest instant at which the connection can have been established, by the monitor's
     * clock.
     */
    private final long connectedAt;

    private final long acceptedInRound;
    private final Consumer<Event> events;
    private Stage stage = Stage.AWAITING_HEAD;
    private HttpRequest head;

    /** Null for a health check, which the node answers itself. */
    private RequestFields fields;

    private BodyBuffer body;
    private int reportedBufferBytes;

    /**
     * The body of a streamed request. Null once the body has arrived completely and is being
     * relayed; until then, this connection drops the body when it responds or ends.
     */
    private StreamedBody stream;

    private boolean streamReceived;
    private boolean clientCloses;
    private boolean closingGracefully;
    private boolean headStartReported;
    private long bytesOfEarlierRequests;
    private long unreportedBytes;
    private long progressReportedAt;
    private long headAt;
    private long relayedBytes = NOT_RELAYING;

    ClientConnection(
            String side,
            long number,
            HttpFraming.RequestDecoder decoder,
            EventLoopMonitor monitor,
            long connectedAt,
            Consumer<Event> events) {
        super(side);
        this.monitor = monitor;
        this.connectedAt = connectedAt;
        acceptedInRound = monitor.round();
        this.number = number;
        this.decoder = decoder;
        this.events = events;
    }

    @Override
    void onPart(HttpObject part) {
        if (stage == Stage.ENDING) {
            return;
        }
        if (part instanceof HttpRequest request) {
            onHead(request);
        }
        if (part instanceof HttpContent content) {
            if (stage == Stage.BUFFERING_BODY) {
                buffer(content);
            } else if (stage == Stage.STREAMING_BODY) {
                stream(content);
            }
        }
    }

    private void onHead(HttpRequest request) {
        if (stage != Stage.AWAITING_HEAD) {
            reject(
                    HttpResponseStatus.BAD_REQUEST,
                    "a request arrived before the previous one was answered");
            return;
        }
        head = request;
        headAt = System.nanoTime();
        relayedBytes = NOT_RELAYING;
        clientCloses = !HttpUtil.isKeepAlive(request);
        fields = null;
        try {
            RequestHeads.checkFraming(request);
            if (!RequestHeads.isHealthCheck(request)) {
                fields = RequestHeads.fields(request);
            }
        } catch (InvalidRequestHeadException e) {
            reject(e.status(), e.getMessage());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            writeAndFlush(ClientResponses.continueResponse());
        }
        stage = Stage.BUFFERING_BODY;
        unreportedBytes = 0;
        body = new BodyBuffer(BodyLimits.MAX_BUFFERED_BYTES);
        reportedBufferBytes = 0;
        events.accept(new RequestHeadReceived(number));
    }

    private void buffer(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectMalformed(content);
        } else if (!body.append(content.content())) {
            if (fields == null) {
                rejectTooLarge();
            } else {
                beginStream(content);
            }
        } else {
            reportBuffer();
            if (stage != Stage.BUFFERING_BODY) {
                return;
            }
            if (content instanceof LastHttpContent) {
                stage = Stage.RECEIVED;
            } else {
                onProgress(content.content().readableBytes());
            }
        }
    }

    // The router may respond at once, if all buffers together are too large.
    private void reportBuffer() {
        int bytes = body.capacity();
        if (bytes >= MIN_REPORTED_BUFFER_BYTES && bytes != reportedBufferBytes) {
            reportedBufferBytes = bytes;
            events.accept(new BodyBufferGrown(number, bytes));
        }
    }

    // Nothing more is read until the router has chosen a server.
    private void beginStream(HttpContent content) {
        stage = Stage.STREAMING_BODY;
        streamReceived = false;
        stream = new StreamedBody(this, body.bytes(), this::reportFlow);
        body = null;
        events.accept(new StreamedRequestStarted(number, request(Content.NONE.bytes())));
        if (stage == Stage.STREAMING_BODY) {
            if (!stream.hasDestination()) {
                reportFlow(true);
            }
            stream(content);
        }
    }

    private void stream(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectMalformed(content);
            return;
        }
        switch (stream.add(content)) {
            case TOO_LARGE -> rejectTooLarge();
            case LAST_PART_HELD -> stage = Stage.RECEIVED;
            case RELAYED -> onProgress(content.content().readableBytes());
        }
    }

    private ClientRequest request(byte[] bytes) {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return new ClientRequest(
                fields, head.method().name(), head.uri(), new Content(type, bytes));
    }

    // Progress is reported periodically and not for each part: a body may arrive byte by byte.
    private void onProgress(long bytes) {
        unreportedBytes += bytes;
        long now = System.nanoTime();
        if (now - progressReportedAt > PROGRESS_PERIOD_NANOS) {
            progressReportedAt = now;
            events.accept(new BodyProgress(number, unreportedBytes));
            unreportedBytes = 0;
        }
    }

    private void onRelayed(long bytes) {
        relayedBytes += bytes;
        onProgress(bytes);
    }

    private void reportFlow(boolean blocked) {
        events.accept(new RequestBodyFlowChanged(number, blocked));
    }

    /**
     * Reads what the client has sent while its streamed request waited for a server. The end of the
     * connection is behind these bytes and can't be noticed before they are read.
     *
     * @return whether everything that has arrived is read now; false if the budget is used up first
     */
    boolean readAhead(ReadAheadBudget budget) {
        if (stream == null || streamReceived || stream.hasDestination()) {
            return true;
        }
        StreamedBody waiting = stream;
        long begin = decoder.receivedBytes();
        long limit = begin + budget.availableBytes();
        long before;
        do {
            before = decoder.receivedBytes();
            readOnce();
        } while (isOpen() && before < decoder.receivedBytes() && decoder.receivedBytes() < limit);
        if (stream == waiting) {
            waiting.countReadAhead(budget.reserve(decoder.receivedBytes() - begin));
        }
        return !isOpen() || before == decoder.receivedBytes();
    }

    /** Relays the body of the streamed request, if there still is one, to a server's connection. */
    void relayRequestTo(OutboundConnection server, ClientRequest request, long timeoutMs) {
        if (stream == null) {
            return;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        StreamedBody relayed = stream;
        stream = streamReceived ? null : stream;
        HttpRequest forwarded = UpstreamRequests.head(request, timeoutMs, server.address(), length);
        relayed.relayTo(server, server.sendHead(forwarded));
    }

    // A request is rejected if bytes follow it: they would be read as another request, and the
    // connection carries one at a time.
    @Override
    void onReadComplete() {
        if (stream != null) {
            stream.flush();
        }
        if ((stage == Stage.RECEIVED || stage == Stage.AWAITING_RESPONSE)
                && decoder.hasMoreBytes()) {
            reject(HttpResponseStatus.BAD_REQUEST, "unexpected bytes after the request");
        } else if (stage == Stage.AWAITING_HEAD) {
            reportHeadStart();
        } else if (stage == Stage.RECEIVED && stream != null) {
            stage = Stage.AWAITING_RESPONSE;
            completeStream();
        } else if (stage == Stage.RECEIVED) {
            stage = Stage.AWAITING_RESPONSE;
            reportRequest();
        }
    }

    // The decoder keeps no bytes of the header lines that are complete.
    private void reportHeadStart() {
        if (!headStartReported && decoder.receivedBytes() > bytesOfEarlierRequests) {
            headStartReported = true;
            events.accept(new RequestHeadStarted(number));
        }
    }

    private void completeStream() {
        events.accept(new StreamedRequestCompleted(number));
        StreamedBody received = stream;
        streamReceived = true;
        // If no server has been chosen yet, the body is kept until one is. The connection is read
        // meanwhile: its client may leave, or get a response and send the next request.
        stream = received.hasDestination() ? null : received;
        received.complete();
        resumeReading();
    }

    private void reportRequest() {
        events.accept(
                fields == null
                        ? new HealthRequested(number, Paths.READY.equals(head.uri()))
                        : new RequestReceived(number, request(body.bytes()), ageMicros()));
        head = null;
        body = null;
    }

    // A request that is read in the round that accepts its connection, or in the next one, may be
    // as old as the connection: both may have waited to be accepted.
    private long ageMicros() {
        boolean isNew = monitor.round() <= acceptedInRound + 1;
        return monitor.microsSince(isNew ? connectedAt : monitor.earliestArrival());
    }

    private void rejectMalformed(HttpContent content) {
        reject(HttpResponseStatus.BAD_REQUEST, String.valueOf(content.decoderResult().cause()));
    }

    private void rejectTooLarge() {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void reject(HttpResponseStatus status, String reason) {
        dropRequest();
        beginEnding();
        setCloseReason(CloseReason.MALFORMED);
        events.accept(new InvalidRequest(number, status.code(), reason));
    }

    // A client may send many requests behind its last one. Decoding them would delay others.
    private void beginEnding() {
        stage = Stage.ENDING;
        decoder.discardInput();
    }

    private void dropRequest() {
        head = null;
        body = null;
        dropStream();
    }

    private void dropStream() {
        if (stream != null) {
            stream.drop();
            stream = null;
        }
    }

    /** Writes the final response to the request. */
    void respond(Respond effect) {
        boolean closes = effect.closeAfter() || clientCloses;
        FullHttpResponse response = ClientResponses.complete(effect, closes);
        dropRequest();
        writeAndFlush(response, written -> onResponseWritten(closes, written.isSuccess()));
        awaitNextRequest(closes);
    }

    private void awaitNextRequest(boolean closes) {
        if (closes) {
            beginEnding();
        } else {
            stage = Stage.AWAITING_HEAD;
        }
        headStartReported = false;
        bytesOfEarlierRequests = decoder.receivedBytes();
    }

    private void onResponseWritten(boolean closes, boolean success) {
        events.accept(new ResponseWritten(number));
        if (closes && success) {
            closeGracefully(CloseReason.NOT_REUSABLE);
        } else if (closes) {
            close(CloseReason.NOT_REUSABLE);
        }
    }

    /**
     * Closes the connection once everything is written. The client may still be sending: closing a
     * connection with unread bytes would reset it, and the last response would be lost. The output
     * is therefore shut down first, and further input is ignored.
     */
    void closeGracefully(CloseReason reason) {
        if (closingGracefully) {
            return;
        }
        closingGracefully = true;
        beginEnding();
        setCloseReason(reason);
        if (context().channel() instanceof DuplexChannel duplex && duplex.isActive()) {
            shutDownOutput(duplex);
            resumeReading();
            LoopTasks.schedule(
                    context().executor(), () -> close(reason), LINGER_MS, TimeUnit.MILLISECONDS);
        } else {
            close(reason);
        }
    }

    // A failure means that the connection has already ended.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void shutDownOutput(DuplexChannel channel) {
        channel.shutdownOutput();
    }

    /** Begins to relay a server's streamed response. */
    void relayResponseOf(OutboundConnection server, boolean closeAfter) {
        boolean closes = closeAfter || clientCloses;
        context().channel().config().setOption(ChannelOption.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES);
        write(ClientResponses.head(server.streamedResponse(), closes));
        unreportedBytes = 0;
        relayedBytes = server.bufferedBytes();
        // The first part that follows is reported at once.
        progressReportedAt = System.nanoTime() - PROGRESS_PERIOD_NANOS - 1;
        server.relayResponseTo(
                this,
                this::onRelayed,
                written -> {
                    awaitNextRequest(closes);
                    onResponseWritten(closes, written.isSuccess());
                });
    }

    @Override
    Optional<OpenExchange> openExchange() {
        boolean open = fields != null && stage != Stage.AWAITING_HEAD && stage != Stage.ENDING;
        if (!open) {
            return Optional.empty();
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headAt);
        String phase = relayedBytes < 0 ? stage.name() : "RELAYING_RESPONSE";
        int status = relayedBytes < 0 ? 0 : HttpResponseStatus.OK.code();
        return Optional.of(
                new OpenExchange(
                        fields.traceId(),
                        NO_ATTEMPT,
                        phase,
                        status,
                        Math.max(0, relayedBytes),
                        elapsedMs));
    }

    @Override
    void onClosed(CloseReason reason) {
        dropStream();
        events.accept(new ClientClosed(number));
    }
}
