// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultHttpContent;
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
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import ottergauge.protocol.Address;
import ottergauge.protocol.BodyLimits;
import ottergauge.routing.CloseReason;

/** A connection that the node opened: carries one request at a time and reads its answer. */
final class OutboundConnection extends Connection {

    /**
     * An answer, whole or as far as it has come when it begins to flow; {@code length} is what its
     * head says of its body or negative, {@code reusable} says that the connection may carry
     * another request.
     */
    record Answer(int status, HttpHeaders headers, byte[] body, long length, boolean reusable) {}

    /** Opens connections; {@code side} is what the log calls the other end. */
    @FunctionalInterface
    interface Dialer {
        Future<OutboundConnection> dial(String side, Address address, long timeoutMs, int mostBody);
    }

    private enum Stage {
        QUIET,
        ASKED,
        BODY,
        WHOLE,
        FLOWING,
        FLOWED
    }

    private final HttpFraming.Answers decoder;
    private final int mostBody;
    private Consumer<Answer> whenAnswered;
    private Consumer<CloseReason> whenEnded;
    private Consumer<Answer> flowBegan;
    private Consumer<Boolean> flowEnded;
    private Runnable flowWritten;
    private Consumer<Answer> flowAnswered;
    private Stage stage = Stage.QUIET;
    private boolean interim;
    private HttpResponse head;
    private BodyBuffer body;
    private boolean more;
    private Answer flowing;
    private BodyRelay flow;
    private LongConsumer moved = bytes -> {};
    private HttpContent last;
    private long flowed;
    private long headAt;
    private int reads;
    private long announced;
    private Runnable openEnded = () -> {};

    private OutboundConnection(String side, HttpFraming.Answers decoder, int mostBody) {
        super(side);
        this.decoder = decoder;
        this.mostBody = mostBody;
    }

    static Dialer dialer(NetClient client) {
        return (side, address, timeoutMs, mostBody) ->
                connect(client, side, address, timeoutMs, mostBody);
    }

    /** Opens a connection; one that does not come up leaves its log line here. */
    static Future<OutboundConnection> connect(
            NetClient client, String side, Address address, long timeoutMs, int mostBody) {
        return client.connect(
                        new ConnectOptions()
                                .setHost(address.host())
                                .setPort(address.port())
                                .setTimeout((int) timeoutMs))
                .map(
                        socket ->
                                over(
                                        ((NetSocketInternal) socket)
                                                .channelHandlerContext()
                                                .pipeline(),
                                        side,
                                        mostBody))
                .onFailure(
                        failure ->
                                ConnectionLog.ended(
                                        side,
                                        address,
                                        isTimeout(failure)
                                                ? CloseReason.CONNECT_TIMEOUT
                                                : CloseReason.CONNECT_FAILED));
    }

    /** Carries messages over a connection that is open. */
    static OutboundConnection over(ChannelPipeline pipeline, String side, int mostBody) {
        HttpFraming.Answers decoder = new HttpFraming.Answers();
        OutboundConnection connection = new OutboundConnection(side, decoder, mostBody);
        pipeline.channel().config().setWriteBufferWaterMark(WATER_MARK);
        pipeline.channel().config().setOption(ChannelOption.TCP_NODELAY, true);
        pipeline.addFirst(decoder, new HttpRequestEncoder(), connection);
        return connection;
    }

    private static boolean isTimeout(Throwable failure) {
        return failure instanceof ConnectTimeoutException || failure instanceof TimeoutException;
    }

    void whenEnded(Consumer<CloseReason> handler) {
        whenEnded = handler;
    }

    /**
     * Lets bodies flow that are too large to be kept: the handlers hear that the head of an answer
     * has come which does not tell its length, that an answer has begun to flow, that its last byte
     * has come, that a request's is written, and of the answer to such a request.
     */
    void whenFlows(
            Runnable open,
            Consumer<Answer> began,
            Consumer<Boolean> ended,
            Runnable written,
            Consumer<Answer> answered) {
        openEnded = open;
        flowBegan = began;
        flowEnded = ended;
        flowWritten = written;
        flowAnswered = answered;
    }

    /** Sends a request; the second handler gets the answer, if it comes whole. */
    void send(FullHttpRequest request, Runnable whenWritten, Consumer<Answer> answered) {
        whenAnswered = answered;
        stage = Stage.ASKED;
        context()
                .writeAndFlush(request)
                .addListener(written -> written(written.isSuccess(), whenWritten));
    }

    /** Sends the head of a request whose body flows; what is given back takes the end of that. */
    Consumer<ChannelFuture> open(HttpRequest request) {
        whenAnswered = flowAnswered;
        stage = Stage.ASKED;
        context().write(request);
        return written -> written(written.isSuccess(), flowWritten);
    }

    private void written(boolean success, Runnable whenWritten) {
        if (success) {
            whenWritten.run();
        } else {
            close(CloseReason.RESET);
        }
    }

    @Override
    void take(HttpObject part) {
        if (stage == Stage.QUIET) {
            // Bytes that nothing was asked for: taken for the next request's answer, they would
            // serve a
            // client with another's.
            close(CloseReason.MALFORMED);
        } else if (stage == Stage.WHOLE || stage == Stage.FLOWED) {
            more = true;
        } else {
            if (part instanceof HttpResponse response) {
                begin(response);
            }
            if (part instanceof HttpContent content) {
                read(content);
            }
        }
    }

    private void begin(HttpResponse response) {
        interim =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                        && response.status().code()
                                != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        head = response;
        body = new BodyBuffer(mostBody);
        stage = interim ? Stage.ASKED : Stage.BODY;
        announced = HttpUtil.getContentLength(response, 0L);
        if (HttpFraming.fault(response) != null) {
            fail(CloseReason.MALFORMED);
        } else if (!interim
                && announced > (flowBegan == null ? mostBody : BodyLimits.MAX_STREAMED_BYTES)) {
            // An answer with a huge length never ends.
            fail(CloseReason.TOO_LARGE);
        } else if (!interim && flowBegan != null) {
            headAt = System.nanoTime();
            reads = 0;
            if (HttpUtil.getContentLength(response, 0L) > mostBody) {
                beginFlow();
            } else if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                openEnded.run();
            }
        }
    }

    private void read(HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail(CloseReason.MALFORMED);
        } else if (stage == Stage.FLOWING) {
            flow(content);
        } else if (!body.take(content.content())) {
            if (flowBegan == null || interim) {
                fail(CloseReason.TOO_LARGE);
            } else {
                beginFlow();
                if (stage == Stage.FLOWING && head != null) {
                    flow(content);
                }
            }
        } else if (content instanceof LastHttpContent && !interim) {
            stage = Stage.WHOLE;
        }
    }

    // What is here by now waits for the client that it is for; nothing more is read before.
    private void beginFlow() {
        stage = Stage.FLOWING;
        flow = new BodyRelay(this);
        byte[] first = body.bytes();
        body = new BodyBuffer(0);
        flowing = answer(false);
        flowed = first.length;
        flow.take(new DefaultHttpContent(Unpooled.wrappedBuffer(first)));
        whenAnswered = null;
        flowBegan.accept(flowing);
    }

    /**
     * What has come of an answer goes on now, though it might still be small enough to be kept. One
     * that came at one go and stands still is not long but spoilt: its server has forgotten to say
     * where it ends.
     */
    void flowNow() {
        if (stage == Stage.BODY && head != null && reads > 1) {
            beginFlow();
        }
    }

    /** How long ago the head of the answer came. */
    long microsSinceHead() {
        return (System.nanoTime() - headAt) / 1000;
    }

    private void flow(HttpContent content) {
        flowed += content.content().readableBytes();
        if (flowed > BodyLimits.MAX_STREAMED_BYTES) {
            fail(CloseReason.TOO_LARGE);
        } else if (content instanceof LastHttpContent) {
            // The client's answer ends with it: not before it is known whether it came alone.
            last = content.retain();
            stage = Stage.FLOWED;
        } else {
            flow.take(content);
            moved.accept(content.content().readableBytes());
        }
    }

    /** The answer that has begun to flow. */
    Answer flowing() {
        return flowing;
    }

    /**
     * Passes the answer that flows on; the first handler hears of its bytes, the second of its end.
     */
    void flowTo(Connection client, LongConsumer bytes, Consumer<ChannelFuture> written) {
        moved = bytes;
        flow.on(client, written);
    }

    private void fail(CloseReason why) {
        head = null;
        close(why);
    }

    /** The length that the answer's head tells; 0 if it tells none. */
    long announced() {
        return announced;
    }

    private Answer answer(boolean alone) {
        boolean keeps = HttpUtil.isKeepAlive(head) && HttpFraming.hasLength(head);
        return new Answer(
                head.status().code(),
                head.headers(),
                body.bytes(),
                HttpUtil.getContentLength(head, -1L),
                alone && keeps);
    }

    /**
     * An answer counts when all that came with it is taken: only then is it known whether it came
     * alone.
     */
    @Override
    void taken() {
        if (flow != null) {
            flow.flush();
        }
        reads++;
        boolean alone = !more && !decoder.hasMore();
        if (stage == Stage.WHOLE) {
            Consumer<Answer> answered = whenAnswered;
            Answer answer = answer(alone);
            reset();
            answered.accept(answer);
        } else if (stage == Stage.FLOWED) {
            boolean keeps = answer(alone).reusable();
            BodyRelay ending = flow;
            HttpContent end = last;
            last = null;
            reset();
            flowEnded.accept(keeps);
            ending.take(end);
            ending.flush();
            end.release();
        } else if (stage == Stage.QUIET && decoder.hasMore()) {
            close(CloseReason.MALFORMED);
        }
    }

    private void reset() {
        whenAnswered = null;
        stage = Stage.QUIET;
        more = false;
        head = null;
        body = null;
        flowing = null;
        flow = null;
        moved = bytes -> {};
    }

    /**
     * An answer without a length is whole once its connection is closed, and not if that is reset.
     */
    @Override
    void ended(CloseReason why) {
        boolean whole =
                why == CloseReason.PEER_CLOSED
                        && head != null
                        && !interim
                        && !HttpFraming.hasLength(head);
        if (whole && stage == Stage.BODY) {
            stage = Stage.WHOLE;
            taken();
        } else if (whole && stage == Stage.FLOWING) {
            stage = Stage.FLOWED;
            last = LastHttpContent.EMPTY_LAST_CONTENT;
            taken();
        }
        if (flow != null) {
            flow.drop();
        }
        if (last != null) {
            last.release();
            last = null;
        }
        whenEnded.accept(why);
    }
}
