// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.Future;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import ottergauge.protocol.Address;
import ottergauge.protocol.BodyLimits;
import ottergauge.routing.CloseReason;

/** A connection that the node opened. It carries one request at a time and reads its response. */
final class OutboundConnection extends Connection {

    /**
     * A response: complete, or only its head when streaming begins.
     *
     * @param contentLength the length that its head announces; negative if none
     * @param reusable whether the connection may carry another request
     */
    // The body is shared and never modified: a copy for each response would cost too much.
    @SuppressWarnings("ArrayRecordComponent")
    record Response(
            int status, HttpHeaders headers, byte[] body, long contentLength, boolean reusable) {}

    /**
     * Handlers for messages whose bodies are too large to be buffered.
     *
     * @param unsizedResponseStarted called when the head of a response without a length has
     *     arrived, with the head and no bytes
     * @param unsizedBodyArrived called when bytes of its body have arrived and it is still
     *     buffered, with whether they are more than what came with its head; not again after that
     * @param responseStarted called when a response is too large, with its head and first bytes
     * @param responseCompleted called when the last byte of a streamed response has arrived, with
     *     whether the connection is reusable
     * @param requestWritten called when a streamed request is written completely
     * @param responseReceived called with the response to a streamed request, if it is small enough
     */
    record StreamHandlers(
            Consumer<Response> unsizedResponseStarted,
            Consumer<Boolean> unsizedBodyArrived,
            Consumer<Response> responseStarted,
            Consumer<Boolean> responseCompleted,
            Runnable requestWritten,
            Consumer<Response> responseReceived) {}

    /** Opens connections; {@code side} is the peer's role, for the log. */
    @FunctionalInterface
    interface Dialer {
        Future<OutboundConnection> dial(
                String side, Address address, long timeoutMs, int maxBodyBytes);
    }

    private enum Stage {
        IDLE,
        AWAITING_HEAD,
        BUFFERING_BODY,
        /**
         * The last part of the response has been handled, but not yet the end of the read that
         * brought it.
         */
        RECEIVED,
        STREAMING_BODY,
        /** The same as RECEIVED, for a streamed body. */
        STREAM_RECEIVED
    }

    private static final long NANOS_PER_MICRO = 1_000;
    private static final byte[] NO_BYTES = {};

    /** Bytes that arrive within this time of the head were written together with it. */
    private static final long BURST_MICROS = 10_000;

    private final HttpFraming.ResponseDecoder decoder;
    private final int maxBodyBytes;
    private Consumer<Response> responseHandler;
    private Consumer<CloseReason> endHandler;

    /** Null if responses larger than {@code maxBodyBytes} are rejected. */
    private StreamHandlers streamHandlers;

    private Stage stage = Stage.IDLE;
    private String traceId = "";
    private int attempt;
    private long sentAt;
    private int status;
    private long responseBytes;
    private HttpResponse head;
    private boolean interim;
    private long announcedLength;
    private long headAt;
    private int readsSinceHead;
    private boolean progressReported;
    private BodyBuffer body;
    private boolean surplusParts;
    private StreamedBody stream;
    private Response streamedResponse;
    private int bufferedBytes;
    private LongConsumer progressHandler = OutboundConnection::ignoreProgress;

    private OutboundConnection(String side, HttpFraming.ResponseDecoder decoder, int maxBodyBytes) {
        super(side);
        this.decoder = decoder;
        this.maxBodyBytes = maxBodyBytes;
    }

    static Dialer dialer(NetClient client) {
        return (side, address, timeoutMs, maxBodyBytes) ->
                connect(client, side, address, timeoutMs, maxBodyBytes);
    }

    /** Opens a connection; a failure is logged here. */
    static Future<OutboundConnection> connect(
            NetClient client, String side, Address address, long timeoutMs, int maxBodyBytes) {
        ConnectOptions options =
                new ConnectOptions()
                        .setHost(address.host())
                        .setPort(address.port())
                        .setTimeout((int) timeoutMs);
        return client.connect(options)
                .map(
                        socket -> {
                            NetSocketInternal internal = (NetSocketInternal) socket;
                            ChannelPipeline pipeline = internal.channelHandlerContext().pipeline();
                            return over(pipeline, side, maxBodyBytes);
                        })
                .onFailure(e -> ConnectionLog.ended(side, address, connectFailure(e)));
    }

    private static CloseReason connectFailure(Throwable failure) {
        return failure instanceof ConnectTimeoutException || failure instanceof TimeoutException
                ? CloseReason.CONNECT_TIMEOUT
                : CloseReason.CONNECT_FAILED;
    }

    /** Creates a connection on an open channel. */
    static OutboundConnection over(ChannelPipeline pipeline, String side, int maxBodyBytes) {
        HttpFraming.ResponseDecoder decoder = new HttpFraming.ResponseDecoder();
        OutboundConnection connection = new OutboundConnection(side, decoder, maxBodyBytes);
        pipeline.channel().config().setWriteBufferWaterMark(WATER_MARK);
        pipeline.channel().config().setRecvByteBufAllocator(readSizes());
        pipeline.channel().config().setOption(ChannelOption.TCP_NODELAY, true);
        pipeline.addFirst(decoder, new HttpRequestEncoder(), connection);
        return connection;
    }

    /** Sets the handler of the connection's end. */
    void onEnd(Consumer<CloseReason> handler) {
        endHandler = handler;
    }

    /** Allows bodies to be streamed. */
    void allowStreaming(StreamHandlers handlers) {
        streamHandlers = handlers;
    }

    /** Sets the trace id and the index of the attempt that is sent next, for the log. */
    void identifyAttempt(String requestTraceId, int attemptIndex) {
        traceId = requestTraceId;
        attempt = attemptIndex;
    }

    /** Sends a request; {@code responseReceived} gets the response if it arrives completely. */
    void send(
            FullHttpRequest request, Runnable requestWritten, Consumer<Response> responseReceived) {
        responseHandler = responseReceived;
        beginExchange();
        context()
                .writeAndFlush(request)
                .addListener(written -> onRequestWritten(written.isSuccess(), requestWritten));
    }

    /**
     * Sends the head of a streamed request.
     *
     * @return the handler that has to be called once the last part of its body is written
     */
    Consumer<ChannelFuture> sendHead(HttpRequest request) {
        responseHandler = streamHandlers.responseReceived();
        beginExchange();
        write(request);
        return written -> onRequestWritten(written.isSuccess(), streamHandlers.requestWritten());
    }

    private void beginExchange() {
        stage = Stage.AWAITING_HEAD;
        sentAt = System.nanoTime();
        status = 0;
        responseBytes = 0;
    }

    private void onRequestWritten(boolean success, Runnable handler) {
        if (success) {
            handler.run();
        } else {
            close(CloseReason.RESET);
        }
    }

    @Override
    void onPart(HttpObject part) {
        if (stage == Stage.IDLE) {
            // No request is open. If these bytes were taken for the next request's response, they
            // would reach the wrong client.
            close(CloseReason.MALFORMED);
        } else if (stage == Stage.RECEIVED || stage == Stage.STREAM_RECEIVED) {
            surplusParts = true;
        } else {
            if (part instanceof HttpResponse response) {
                onHead(response);
            }
            if (part instanceof HttpContent content) {
                onContent(content);
            }
        }
    }

    private void onHead(HttpResponse response) {
        status = response.status().code();
        interim =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                        && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        head = response;
        body = new BodyBuffer(maxBodyBytes);
        stage = interim ? Stage.AWAITING_HEAD : Stage.BUFFERING_BODY;
        announcedLength = HttpUtil.getContentLength(response, 0L);
        if (HttpFraming.fault(response).isPresent()) {
            fail(CloseReason.MALFORMED);
        } else if (!interim && announcedLength > maxResponseBytes()) {
            fail(CloseReason.TOO_LARGE);
        } else if (!interim && streamHandlers != null) {
            headAt = System.nanoTime();
            readsSinceHead = 0;
            progressReported = false;
            if (announcedLength > maxBodyBytes) {
                beginStream();
            } else if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                streamHandlers.unsizedResponseStarted().accept(response(NO_BYTES, false));
            }
        }
    }

    private long maxResponseBytes() {
        return streamHandlers == null ? maxBodyBytes : BodyLimits.MAX_STREAMED_BYTES;
    }

    private void onContent(HttpContent content) {
        if (head == null) {
            return;
        }
        responseBytes += content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            fail(CloseReason.MALFORMED);
        } else if (stage == Stage.STREAMING_BODY) {
            stream(content);
        } else if (!body.append(content.content())) {
            onBufferFull(content);
        } else if (content instanceof LastHttpContent && !interim) {
            stage = Stage.RECEIVED;
        }
    }

    private void onBufferFull(HttpContent content) {
        if (streamHandlers == null || interim) {
            fail(CloseReason.TOO_LARGE);
            return;
        }
        beginStream();
        if (stage == Stage.STREAMING_BODY && head != null) {
            stream(content);
        }
    }

    // Nothing more is read until the response is relayed to its client.
    private void beginStream() {
        stage = Stage.STREAMING_BODY;
        byte[] buffered = body.bytes();
        bufferedBytes = buffered.length;
        stream = new StreamedBody(this, buffered, blocked -> {});
        body = new BodyBuffer(0);
        streamedResponse = response(body.bytes(), false);
        responseHandler = null;
        streamHandlers.responseStarted().accept(streamedResponse);
    }

    /**
     * Begins to stream a response of unknown length, even if it may still be small enough to be
     * buffered.
     */
    void streamUnsizedResponse() {
        if (stage == Stage.BUFFERING_BODY && head != null) {
            beginStream();
        }
    }

    /** How long ago the head of the response arrived, in microseconds. */
    long microsSinceHead() {
        return (System.nanoTime() - headAt) / NANOS_PER_MICRO;
    }

    private void stream(HttpContent content) {
        switch (stream.add(content)) {
            case TOO_LARGE -> fail(CloseReason.TOO_LARGE);
            case LAST_PART_HELD -> stage = Stage.STREAM_RECEIVED;
            case RELAYED -> progressHandler.accept(content.content().readableBytes());
        }
    }

    /** How many bytes of the body of the streamed response had arrived when streaming began. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** The response that is being streamed. */
    Response streamedResponse() {
        return streamedResponse;
    }

    /**
     * Relays the streamed response to a client.
     *
     * @param progress called with the number of bytes of each part
     * @param lastPartWritten called once the last part is written, or writing it has failed
     */
    void relayResponseTo(
            Connection client, LongConsumer progress, Consumer<ChannelFuture> lastPartWritten) {
        progressHandler = progress;
        stream.relayTo(client, lastPartWritten);
    }

    private void fail(CloseReason reason) {
        head = null;
        close(reason);
    }

    /** The length that the last response's head announced; 0 if none. */
    long announcedLength() {
        return announcedLength;
    }

    private Response response(byte[] bytes, boolean nothingFollowed) {
        return new Response(
                head.status().code(),
                head.headers(),
                bytes,
                HttpUtil.getContentLength(head, -1L),
                isReusable(nothingFollowed));
    }

    private boolean isReusable(boolean nothingFollowed) {
        return nothingFollowed && HttpUtil.isKeepAlive(head) && HttpFraming.hasLength(head);
    }

    // Only at the end of a read is it known whether any bytes followed the response.
    @Override
    void onReadComplete() {
        if (stream != null) {
            stream.flush();
        }
        readsSinceHead++;
        if (!progressReported && responseBytes > 0 && isBufferingUnsized()) {
            progressReported = hasProgressed();
            streamHandlers.unsizedBodyArrived().accept(progressReported);
        }
        boolean nothingFollowed = !surplusParts && !decoder.hasMoreBytes();
        if (stage == Stage.RECEIVED) {
            Consumer<Response> handler = responseHandler;
            Response response = response(body.bytes(), nothingFollowed);
            reset();
            handler.accept(response);
        } else if (stage == Stage.STREAM_RECEIVED) {
            boolean reusable = isReusable(nothingFollowed);
            StreamedBody received = stream;
            reset();
            streamHandlers.responseCompleted().accept(reusable);
            received.complete();
        } else if (stage == Stage.IDLE && decoder.hasMoreBytes()) {
            close(CloseReason.MALFORMED);
        }
    }

    // What a server writes at once may take several reads.
    private boolean hasProgressed() {
        return readsSinceHead > 1
                && (responseBytes > MAX_READ_BYTES || microsSinceHead() >= BURST_MICROS);
    }

    private boolean isBufferingUnsized() {
        return stage == Stage.BUFFERING_BODY
                && streamHandlers != null
                && head != null
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private static void ignoreProgress(long bytes) {}

    private void reset() {
        responseHandler = null;
        stage = Stage.IDLE;
        surplusParts = false;
        head = null;
        body = null;
        streamedResponse = null;
        stream = null;
        traceId = "";
        progressHandler = OutboundConnection::ignoreProgress;
    }

    @Override
    Optional<OpenExchange> openExchange() {
        if (stage == Stage.IDLE || traceId.isEmpty()) {
            return Optional.empty();
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        return Optional.of(
                new OpenExchange(traceId, attempt, stage.name(), status, responseBytes, elapsedMs));
    }

    // A response without a length is complete when its connection is closed, but not when it is
    // reset.
    @Override
    void onClosed(CloseReason reason) {
        boolean endsResponse =
                reason == CloseReason.PEER_CLOSED
                        && head != null
                        && !interim
                        && !HttpFraming.hasLength(head);
        if (endsResponse && stage == Stage.BUFFERING_BODY) {
            stage = Stage.RECEIVED;
            onReadComplete();
        } else if (endsResponse && stage == Stage.STREAMING_BODY) {
            stream(LastHttpContent.EMPTY_LAST_CONTENT);
            onReadComplete();
        }
        if (stream != null) {
            stream.drop();
        }
        endHandler.accept(reason);
    }
}
