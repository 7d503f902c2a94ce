// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BiConsumer;
import ottergauge.routing.AdminRequest;
import ottergauge.routing.CloseReason;

/** An operator's connection: one call, one answer, and the end. */
final class AdminConnection extends Connection {

    // Calls have no body; what a client sends along unasked is read past up to here.
    private static final int MOST_BODY = 4096;
    static final String HEALTH_PATH = "/healthcheck";
    private static final String SERVERS = "/servers/";

    private final BiConsumer<AdminConnection, AdminRequest> asked;
    private final Runnable whenEnded;
    private HttpRequest head;
    private int body;
    private boolean answered;

    AdminConnection(
            String side, BiConsumer<AdminConnection, AdminRequest> asked, Runnable whenEnded) {
        super(side);
        this.asked = asked;
        this.whenEnded = whenEnded;
    }

    boolean waits() {
        return !answered;
    }

    @Override
    void onPart(HttpObject part) {
        if (answered) {
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        } else if (head != null && part instanceof HttpContent content) {
            body += content.content().readableBytes();
            if (content.decoderResult().isFailure()) {
                answer(HttpResponseStatus.BAD_REQUEST, "unreadable");
            } else if (body > MOST_BODY) {
                answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "calls have no body");
            } else if (content instanceof LastHttpContent) {
                call();
            }
        }
    }

    private void begin(HttpRequest request) {
        Optional<String> fault = HttpFraming.fault(request);
        if (fault.isPresent()) {
            answer(HttpResponseStatus.BAD_REQUEST, fault.get());
            return;
        }
        head = request;
        if (HttpUtil.is100ContinueExpected(request)) {
            context()
                    .writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (request instanceof LastHttpContent) {
            call();
        }
    }

    private void call() {
        String path = head.uri().replaceFirst("\\?.*", "");
        AdminRequest get =
                switch (path) {
                    case HEALTH_PATH -> new AdminRequest.Health();
                    case "/stats" -> new AdminRequest.Stats();
                    case "/servers" -> new AdminRequest.Servers();
                    default -> null;
                };
        AdminRequest post = get == null ? change(path) : null;
        if (get == null && post == null) {
            answer(HttpResponseStatus.NOT_FOUND, "no such call");
        } else if (!head.method().equals(get == null ? HttpMethod.POST : HttpMethod.GET)) {
            answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "not by " + head.method());
        } else {
            asked.accept(this, get == null ? post : get);
        }
    }

    // Taken apart before it is decoded: an id may hold an encoded slash.
    private static AdminRequest change(String path) {
        int slash = path.lastIndexOf('/');
        if (!path.startsWith(SERVERS) || slash <= SERVERS.length()) {
            return null;
        }
        String raw = path.substring(SERVERS.length(), slash);
        String server;
        try {
            // A plus stands for itself in a path.
            server = QueryStringDecoder.decodeComponent(raw.replace("+", "%2B"));
        } catch (IllegalArgumentException e) {
            return null;
        }
        return switch (path.substring(slash + 1)) {
            case "maint" -> new AdminRequest.StartMaintenance(server);
            case "ready" -> new AdminRequest.EndMaintenance(server);
            default -> null;
        };
    }

    void answer(int status, String text) {
        answer(HttpResponseStatus.valueOf(status), text);
    }

    private void answer(HttpResponseStatus status, String text) {
        if (answered) {
            return;
        }
        answered = true;
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context().writeAndFlush(response).addListener(written -> close(CloseReason.NOT_REUSABLE));
    }

    /** Its time is up: what has not asked by now is told so, and what does not read is closed. */
    void late() {
        if (answered) {
            close(CloseReason.SLOW_ANSWER);
        } else {
            setCloseReason(CloseReason.SLOW_REQUEST);
            answer(HttpResponseStatus.REQUEST_TIMEOUT, "no whole call came in time");
        }
    }

    // A call is answered as soon as it is whole: what comes behind it has no answer.
    @Override
    void onReadComplete() {}

    @Override
    void onClosed(CloseReason reason) {
        whenEnded.run();
    }
}
