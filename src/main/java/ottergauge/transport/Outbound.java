// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
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
import ottergauge.protocol.Address;
import ottergauge.routing.CloseReason;

/** A connection that the node opened: carries one request at a time and reads its answer. */
final class Outbound extends Connection {

    /** A whole answer; {@code reusable} says that the connection may carry another request. */
    record Answer(int status, HttpHeaders headers, byte[] body, boolean reusable) { }

    private final Framing.Answers decoder;
    private final int mostBody;
    private Consumer<Answer> whenAnswered;
    private Consumer<CloseReason> whenEnded;
    private boolean interim;
    private HttpResponse head;
    private MessageBody body;
    private boolean whole;
    private boolean more;

    private Outbound(String side, Framing.Answers decoder, int mostBody) {
        super(side);
        this.decoder = decoder;
        this.mostBody = mostBody;
    }

    /** Opens a connection; one that does not come up leaves its log line here. */
    static Future<Outbound> connect(NetClient client, String side, Address address, long timeoutMs,
                                    int mostBody) {
        return client.connect(new ConnectOptions().setHost(address.host()).setPort(address.port())
                .setTimeout((int) timeoutMs))
            .map(socket -> over(((NetSocketInternal) socket).channelHandlerContext().pipeline(), side,
                mostBody))
            .onFailure(failure -> ConnectionLog.ended(side, address, isTimeout(failure)
                ? CloseReason.CONNECT_TIMEOUT : CloseReason.CONNECT_FAILED));
    }

    /** Carries messages over a connection that is open. */
    static Outbound over(ChannelPipeline pipeline, String side, int mostBody) {
        Framing.Answers decoder = new Framing.Answers();
        Outbound connection = new Outbound(side, decoder, mostBody);
        pipeline.addFirst(decoder, new HttpRequestEncoder(), connection);
        return connection;
    }

    private static boolean isTimeout(Throwable failure) {
        return failure instanceof ConnectTimeoutException || failure instanceof TimeoutException;
    }

    void whenEnded(Consumer<CloseReason> handler) {
        whenEnded = handler;
    }

    /** Sends a request; the second handler gets the answer, if it comes whole. */
    void send(FullHttpRequest request, Runnable whenWritten, Consumer<Answer> answered) {
        whenAnswered = answered;
        context().writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                whenWritten.run();
            } else {
                close(CloseReason.RESET);
            }
        });
    }

    @Override
    void take(HttpObject part) {
        if (whenAnswered == null) {
            // Bytes that nothing was asked for: taken for the next request's answer, they would serve a
            // client with another's.
            close(CloseReason.MALFORMED);
        } else if (whole) {
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
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            && response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        head = response;
        body = new MessageBody(mostBody);
        if (Framing.fault(response) != null || !interim && (!Framing.hasLength(response)
            || HttpUtil.getContentLength(response, 0L) > mostBody)) {
            // An answer without a length could be cut short unseen; one with a huge length never ends.
            fail();
        }
    }

    private void read(HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure() || !body.take(content.content())) {
            fail();
        } else if (content instanceof LastHttpContent) {
            whole = !interim;
        }
    }

    private void fail() {
        head = null;
        close(CloseReason.MALFORMED);
    }

    /** An answer counts when all that came with it is taken: only then is it known whether it came alone. */
    @Override
    void taken() {
        if (whole) {
            Consumer<Answer> answered = whenAnswered;
            boolean alone = !more && !decoder.hasMore();
            boolean keeps = !head.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE,
                true);
            Answer answer = new Answer(head.status().code(), head.headers(), body.bytes(), alone && keeps);
            whenAnswered = null;
            whole = false;
            head = null;
            body = null;
            answered.accept(answer);
        } else if (whenAnswered == null && decoder.hasMore()) {
            close(CloseReason.MALFORMED);
        }
    }

    @Override
    void ended(CloseReason why) {
        whenEnded.accept(why);
    }
}
