// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.LongSupplier;

/** An HTTP request and its response. Used only on the event loop. */
final class HttpExchange implements Responder {

    private static final String JSON = "application/json";
    private static final String RETRY_AFTER_SECONDS = "1";

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final ConnectionTracker connections;
    private final LongSupplier clockMs;
    private boolean closeAfterResponse;

    HttpExchange(HttpServerRequest request, ConnectionTracker connections, LongSupplier clockMs) {
        this.request = request;
        this.connections = connections;
        this.clockMs = clockMs;
        response = request.response();
    }

    HttpServerRequest request() {
        return request;
    }

    private boolean isFinished() {
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
    public HttpExchange closeAfterResponse() {
        closeAfterResponse = true;
        return this;
    }

    @Override
    public void respond(int status, byte[] json) {
        if (isFinished()) {
            return;
        }
        response.setStatusCode(status).putHeader(HttpHeaders.CONTENT_TYPE, JSON);
        if (status == HttpStatus.UNAVAILABLE) {
            response.putHeader(HttpHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        if (closeAfterResponse) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        connections.responseStarted(request.connection(), clockMs.getAsLong());
        response.end(Buffer.buffer(json)).onComplete(written -> responseWritten());
    }

    private void responseWritten() {
        connections.responseWritten(request.connection(), clockMs.getAsLong());
        if (closeAfterResponse) {
            request.connection().close();
        }
    }
}
