// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.Content;
import ottergauge.protocol.Paths;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event;
import ottergauge.routing.Event.BodyProgress;
import ottergauge.routing.Event.ClientClosed;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.HealthRequested;
import ottergauge.routing.Event.InvalidRequest;
import ottergauge.routing.Event.RequestHeadReceived;
import ottergauge.routing.Event.RequestHeadStarted;
import ottergauge.routing.Event.RequestReceived;
import ottergauge.routing.Event.ResponseWritten;
import ottergauge.routing.Event.StreamedRequestCompleted;
import ottergauge.routing.Event.StreamedRequestStarted;

/**
 * A client's connection: one request at a time, each reported once it has come whole and nothing
 * with it.
 */
final class ClientConnection extends Connection {

    private enum Stage {
        HEAD,
        BODY,
        FLOWING,
        WHOLE,
        OPEN,
        UNREADABLE
    }

    private static final double MICROS = 1e6;
    // Twice between two looks at what stands still.
    private static final long TOLD_EVERY = TimeUnit.MILLISECONDS.toNanos(200);
    // As long as a client may need to notice an answer while it writes.
    private static final long LINGERS_MS = 1_000;

    private final long number;
    private final HttpFraming.Requests decoder;
    private final EventLoopMonitor watch;

    /** When it came up at the earliest, and the loop's round in which it was accepted. */
    private final long since;

    private final long acceptedIn;
    private final Consumer<Event> events;
    private Stage stage = Stage.HEAD;
    private HttpRequest head;
    private RequestFields fields;
    private BodyBuffer body;

    /**
     * The body of a request too large to be kept, and the last part that is held until it came
     * alone.
     */
    private BodyRelay flow;

    /** Whether all of that body has come, though it may not have passed on yet. */
    private boolean flowWhole;

    private HttpContent last;
    private long flowed;
    private boolean closes;
    private boolean finishing;
    private boolean headTold;
    private long moved;
    private long toldAt;

    ClientConnection(
            String side,
            long number,
            HttpFraming.Requests decoder,
            EventLoopMonitor watch,
            long since,
            Consumer<Event> events) {
        super(side);
        this.watch = watch;
        this.since = since;
        acceptedIn = watch.round();
        this.number = number;
        this.decoder = decoder;
        this.events = events;
    }

    @Override
    void take(HttpObject part) {
        if (stage == Stage.UNREADABLE) {
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (stage == Stage.BODY && part instanceof HttpContent content) {
            read(content);
        } else if (stage == Stage.FLOWING && part instanceof HttpContent content) {
            flow(content);
        }
    }

    private void begin(HttpRequest request) {
        if (stage != Stage.HEAD) {
            refuse(
                    HttpResponseStatus.BAD_REQUEST,
                    "a request before the one before it was answered");
            return;
        }
        head = request;
        closes = !HttpUtil.isKeepAlive(request);
        fields = null;
        String fault = HttpFraming.fault(request);
        if (fault != null) {
            refuse(status(request), fault);
        } else if (!isHealth(request)) {
            check(request);
        }
        if (stage == Stage.HEAD) {
            if (HttpUtil.is100ContinueExpected(request)) {
                context().writeAndFlush(answer(HttpResponseStatus.CONTINUE, Content.NONE));
            }
            stage = Stage.BODY;
            moved = 0;
            body = new BodyBuffer(BodyLimits.MAX_BUFFERED_BYTES);
            events.accept(new RequestHeadReceived(number));
        }
    }

    private static HttpResponseStatus status(HttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : cause instanceof TooLongHttpHeaderException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : cause == null && !HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                                ? HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED
                                : HttpResponseStatus.BAD_REQUEST;
    }

    private static boolean isHealth(HttpRequest request) {
        return HttpMethod.GET.equals(request.method())
                && (Paths.READY.equals(request.uri()) || Paths.LIVE.equals(request.uri()));
    }

    private void check(HttpRequest request) {
        boolean get = HttpMethod.GET.equals(request.method());
        try {
            for (String name : RequestFields.NAMES) {
                if (request.headers().getAll(name).size() > 1) {
                    throw new ProtocolException("more than one " + name);
                }
            }
            fields = RequestFields.read(name -> request.headers().get(name));
            if (!RequestFields.isVisible(request.uri())) {
                throw new ProtocolException("the path holds other than visible characters");
            }
        } catch (ProtocolException e) {
            refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        if (!get && !HttpMethod.POST.equals(request.method())) {
            refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, request.method().name());
        } else if (HttpUtil.getContentLength(request, 0L) > BodyLimits.MAX_STREAMED_BYTES) {
            // Read to its end, 60 MB that nobody wants would cost the node's other clients their
            // time.
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
    }

    private void read(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, String.valueOf(content.decoderResult().cause()));
        } else if (!body.take(content.content())) {
            if (fields == null) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else {
                beginFlow(content);
            }
        } else if (content instanceof LastHttpContent) {
            stage = Stage.WHOLE;
        } else {
            moved(content.content().readableBytes());
        }
    }

    // What is here by now is kept until a server is chosen; nothing more is read before.
    private void beginFlow(HttpContent content) {
        stage = Stage.FLOWING;
        flowWhole = false;
        flow = new BodyRelay(this);
        byte[] first = body.bytes();
        flowed = first.length;
        flow.take(new DefaultHttpContent(Unpooled.wrappedBuffer(first)));
        body = null;
        Content type =
                new Content(head.headers().get(HttpHeaderNames.CONTENT_TYPE), Content.NONE.bytes());
        events.accept(
                new StreamedRequestStarted(
                        number, new ClientRequest(fields, head.method().name(), head.uri(), type)));
        if (stage == Stage.FLOWING) {
            flow(content);
        }
    }

    private void flow(HttpContent content) {
        flowed += content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, String.valueOf(content.decoderResult().cause()));
        } else if (flowed > BodyLimits.MAX_STREAMED_BYTES) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        } else if (content instanceof LastHttpContent) {
            // With it the server begins: not before it is known that nothing came behind.
            last = content.retain();
            stage = Stage.WHOLE;
        } else {
            flow.take(content);
            moved(content.content().readableBytes());
        }
    }

    // Told now and then, not with each part: a body may come byte by byte.
    private void moved(long bytes) {
        moved += bytes;
        long now = System.nanoTime();
        if (now - toldAt > TOLD_EVERY) {
            toldAt = now;
            events.accept(new BodyProgress(number, moved));
            moved = 0;
        }
    }

    /** Writes the body of the request that flows to a server's connection. */
    void flowTo(OutboundConnection server, ClientRequest request, long waitsMs) {
        if (flow != null) {
            long length = HttpUtil.getContentLength(head, -1L);
            BodyRelay whole = flow;
            flow = flowWhole ? null : flow;
            whole.on(
                    server,
                    server.open(UpstreamConnector.head(request, waitsMs, server.address(), length)));
        }
    }

    /**
     * A request goes on only when nothing has come behind it: what has would be read as another
     * one.
     */
    @Override
    void taken() {
        if (flow != null) {
            flow.flush();
        }
        if ((stage == Stage.WHOLE || stage == Stage.OPEN) && decoder.hasMore()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "more came behind the request");
        } else if (stage == Stage.HEAD) {
            if (!headTold && decoder.hasMore()) {
                headTold = true;
                events.accept(new RequestHeadStarted(number));
            }
        } else if (stage == Stage.WHOLE && flow != null) {
            stage = Stage.OPEN;
            events.accept(new StreamedRequestCompleted(number));
            BodyRelay whole = flow;
            flowWhole = true;
            // With no server chosen yet it waits for one, whole as it is.
            flow = whole.goesOn() ? null : whole;
            whole.take(last);
            whole.flush();
            last.release();
            last = null;
        } else if (stage == Stage.WHOLE) {
            stage = Stage.OPEN;
            events.accept(
                    fields == null
                            ? new HealthRequested(number, Paths.READY.equals(head.uri()))
                            : new RequestReceived(
                                    number,
                                    new ClientRequest(
                                            fields,
                                            head.method().name(),
                                            head.uri(),
                                            new Content(
                                                    head.headers()
                                                            .get(HttpHeaderNames.CONTENT_TYPE),
                                                    body.bytes())),
                                    waited()));
            head = null;
            body = null;
        }
    }

    // What a new connection brings with it may be as old as the connection.
    private long waited() {
        return watch.microsSince(watch.round() <= acceptedIn + 1 ? since : watch.since());
    }

    private void dropFlow() {
        if (last != null) {
            last.release();
            last = null;
        }
        flow = null;
    }

    private void refuse(HttpResponseStatus status, String why) {
        if (flow != null) {
            flow.drop();
            dropFlow();
        }
        stage = Stage.UNREADABLE;
        because(CloseReason.MALFORMED);
        events.accept(new InvalidRequest(number, status.code(), why));
    }

    void respond(Respond effect) {
        FullHttpResponse response =
                answer(HttpResponseStatus.valueOf(effect.status()), effect.content());
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, effect.content().bytes().length);
        if (effect.retryAfterMicros() > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", effect.retryAfterMicros() / MICROS));
        }
        boolean ends = effect.closeAfter() || closes;
        if (ends) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (effect.content().type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, effect.content().type());
        }
        if (flow != null) {
            flow.drop();
            dropFlow();
        }
        context()
                .writeAndFlush(response)
                .addListener(written -> answered(ends, written.isSuccess()));
        next(ends);
    }

    private void next(boolean ends) {
        stage = ends ? Stage.UNREADABLE : Stage.HEAD;
        headTold = false;
    }

    private void answered(boolean ends, boolean written) {
        events.accept(new ResponseWritten(number));
        if (ends && written) {
            finish(CloseReason.NOT_REUSABLE);
        } else if (ends) {
            close(CloseReason.NOT_REUSABLE);
        }
    }

    /**
     * Ends the connection when all is written. Its client may be sending: closed over bytes that
     * are not read, the connection would be reset, and what was written last be lost with it. So
     * the client hears of the end first, and what it sends meanwhile is passed over.
     */
    void finish(CloseReason why) {
        if (finishing) {
            return;
        }
        finishing = true;
        stage = Stage.UNREADABLE;
        because(why);
        if (context().channel() instanceof DuplexChannel both && both.isActive()) {
            both.shutdownOutput();
            resume();
            context().executor().schedule(() -> close(why), LINGERS_MS, TimeUnit.MILLISECONDS);
        } else {
            close(why);
        }
    }

    /** Begins to pass a server's answer on; what of it comes goes on as it comes. */
    void passOn(OutboundConnection server, boolean ends) {
        boolean closing = ends || closes;
        OutboundConnection.Answer answer = server.flowing();
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        Content content =
                new Content(answer.headers().get(HttpHeaderNames.CONTENT_TYPE), answer.body());
        if (content.type() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, content.type());
        }
        if (answer.length() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length());
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (closing) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context().write(response);
        moved = 0;
        server.flowTo(
                this,
                this::moved,
                written -> {
                    next(closing);
                    answered(closing, written.isSuccess());
                });
    }

    private static FullHttpResponse answer(HttpResponseStatus status, Content content) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content.bytes()));
    }

    @Override
    void ended(CloseReason why) {
        if (flow != null) {
            flow.drop();
            dropFlow();
        }
        events.accept(new ClientClosed(number));
    }
}
