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
import java.util.function.Consumer;
import ottergauge.routing.AdminRequest;
import ottergauge.routing.CloseReason;

/** A connection to the admin listener. It carries one request and its response, then closes. */
final class AdminConnection extends Connection {

    /** Path of the node's health check. */
    static final String HEALTH_PATH = "/healthcheck";

    private static final String STATS_PATH = "/stats";
    private static final String SERVERS_PATH = "/servers";
    private static final String SERVER_PREFIX = SERVERS_PATH + "/";
    private static final String START_MAINTENANCE = "maint";
    private static final String END_MAINTENANCE = "ready";

    /** Admin requests have no body; an unexpected one is read up to this size. */
    private static final int MAX_BODY_BYTES = 4096;

    private final Consumer<AdminRequest> requestHandler;
    private final Runnable endHandler;
    private HttpRequest head;
    private int bodyBytes;
    private boolean responded;

    AdminConnection(String side, Consumer<AdminRequest> requestHandler, Runnable endHandler) {
        super(side);
        this.requestHandler = requestHandler;
        this.endHandler = endHandler;
    }

    boolean isAwaitingRequest() {
        return !responded;
    }

    @Override
    void onPart(HttpObject part) {
        if (responded) {
            return;
        }
        if (part instanceof HttpRequest request) {
            onHead(request);
        } else if (head != null && part instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpRequest request) {
        Optional<String> fault = HttpFraming.fault(request);
        if (fault.isPresent()) {
            respond(HttpResponseStatus.BAD_REQUEST, fault.get());
            return;
        }
        head = request;
        if (HttpUtil.is100ContinueExpected(request)) {
            writeAndFlush(ClientResponses.continueResponse());
        }
        if (request instanceof LastHttpContent) {
            onRequest();
        }
    }

    private void onContent(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            respond(HttpResponseStatus.BAD_REQUEST, "unreadable");
        } else if (bodyBytes > MAX_BODY_BYTES) {
            respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "calls have no body");
        } else if (content instanceof LastHttpContent) {
            onRequest();
        }
    }

    private void onRequest() {
        String path = head.uri().replaceFirst("\\?.*", "");
        Optional<AdminRequest> query = query(path);
        Optional<AdminRequest> request = query.isPresent() ? query : change(path);
        HttpMethod method = query.isPresent() ? HttpMethod.GET : HttpMethod.POST;
        if (request.isEmpty()) {
            respond(HttpResponseStatus.NOT_FOUND, "no such call");
        } else if (!head.method().equals(method)) {
            respond(HttpResponseStatus.METHOD_NOT_ALLOWED, "not by " + head.method());
        } else {
            requestHandler.accept(request.get());
        }
    }

    private static Optional<AdminRequest> query(String path) {
        return switch (path) {
            case HEALTH_PATH -> Optional.of(new AdminRequest.Health());
            case STATS_PATH -> Optional.of(new AdminRequest.Stats());
            case SERVERS_PATH -> Optional.of(new AdminRequest.Servers());
            default -> Optional.empty();
        };
    }

    // The path is split before it is decoded: a server's name may contain an encoded slash.
    private static Optional<AdminRequest> change(String path) {
        int slash = path.lastIndexOf('/');
        if (!path.startsWith(SERVER_PREFIX) || slash <= SERVER_PREFIX.length()) {
            return Optional.empty();
        }
        String encoded = path.substring(SERVER_PREFIX.length(), slash);
        String server;
        try {
            // In a path, unlike in a query, a plus sign is literal.
            server = QueryStringDecoder.decodeComponent(encoded.replace("+", "%2B"));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        return switch (path.substring(slash + 1)) {
            case START_MAINTENANCE -> Optional.of(new AdminRequest.StartMaintenance(server));
            case END_MAINTENANCE -> Optional.of(new AdminRequest.EndMaintenance(server));
            default -> Optional.empty();
        };
    }

    /** Writes the response and then closes the connection; a second response is ignored. */
    void respond(int status, String text) {
        respond(HttpResponseStatus.valueOf(status), text);
    }

    private void respond(HttpResponseStatus status, String text) {
        if (responded) {
            return;
        }
        responded = true;
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

    /** Closes the connection; if no response has been sent yet, sends a 408 response first. */
    void onTimeout() {
        if (responded) {
            close(CloseReason.SLOW_ANSWER);
        } else {
            setCloseReason(CloseReason.SLOW_REQUEST);
            respond(HttpResponseStatus.REQUEST_TIMEOUT, "no whole call came in time");
        }
    }

    // A request is handled as soon as it is complete; later bytes are ignored.
    @Override
    void onReadComplete() {}

    @Override
    void onClosed(CloseReason reason) {
        endHandler.run();
    }
}
