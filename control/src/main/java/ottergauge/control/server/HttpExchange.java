// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.LongSupplier;

/** One call over HTTP and its answer. */
final class HttpExchange implements Responder {

    private static final String JSON = "application/json";
    private static final String RETRY_AFTER_S = "1";

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final ConnectionTracker connections;
    private final LongSupplier clockMs;
    private boolean lastOnConnection;

    HttpExchange(HttpServerRequest request, ConnectionTracker connections, LongSupplier clockMs) {
        this.request = request;
        this.connections = connections;
        this.clockMs = clockMs;
        response = request.response();
    }

    HttpServerRequest request() {
        return request;
    }

    /** Whether it is answered, or its client has gone. */
    boolean isOver() {
        return response.ended() || response.closed();
    }

    @Override
    public void onDisconnect(Runnable handler) {
        response.closeHandler(
                closed -> {
                    if (!response.ended()) {
                        handler.run();
                    }
                });
    }

    @Override
    public HttpExchange closing() {
        lastOnConnection = true;
        return this;
    }

    @Override
    public void answer(int status, byte[] json) {
        if (isOver()) {
            return;
        }
        response.setStatusCode(status).putHeader(HttpHeaders.CONTENT_TYPE, JSON);
        if (status == HttpStatus.UNAVAILABLE) {
            response.putHeader(HttpHeaders.RETRY_AFTER, RETRY_AFTER_S);
        }
        if (lastOnConnection) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        connections.answered(request.connection(), clockMs.getAsLong());
        response.end(Buffer.buffer(json))
                .onComplete(
                        written -> {
                            connections.written(request.connection(), clockMs.getAsLong());
                            if (lastOnConnection) {
                                request.connection().close();
                            }
                        });
    }
}
