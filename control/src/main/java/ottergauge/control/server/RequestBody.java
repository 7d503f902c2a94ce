// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import ottergauge.resources.ResourceCodec;

/** Reads a request's body, up to the size of the largest submission. */
final class RequestBody {

    private static final int MAX_BYTES = ResourceCodec.MAX_SUBMISSION_BYTES;

    private final Buffer body = Buffer.buffer();
    private boolean rejected;

    private RequestBody() {}

    /**
     * Checks that a request has no body.
     *
     * @throws HttpException with status 400 if it has one
     */
    static void requireNone(HttpServerRequest request) throws HttpException {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        boolean chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        if (chunked || (length != null && !length.equals("0"))) {
            throw new HttpException(HttpStatus.BAD_REQUEST, "this call has no body");
        }
    }

    /**
     * Reads a body asynchronously. Calls at most one of the handlers, at most once.
     *
     * @param onBody receives the complete body
     * @param onTooLarge receives the error with status 413 if the received body exceeds the limit
     * @throws HttpException with status 413 if the declared length is too large
     */
    static void read(
            HttpServerRequest request, Consumer<Buffer> onBody, Consumer<HttpException> onTooLarge)
            throws HttpException {
        checkDeclaredLength(request.getHeader(HttpHeaders.CONTENT_LENGTH));
        RequestBody reading = new RequestBody();
        request.handler(chunk -> reading.append(chunk, onTooLarge));
        request.endHandler(
                end -> {
                    if (!reading.rejected) {
                        onBody.accept(reading.body);
                    }
                });
    }

    private static void checkDeclaredLength(String length) throws HttpException {
        // The HTTP decoder has already rejected a length that is not a number.
        if (length != null && Long.parseLong(length.trim()) > MAX_BYTES) {
            throw tooLarge();
        }
    }

    private void append(Buffer chunk, Consumer<HttpException> onTooLarge) {
        if (!rejected && body.length() + chunk.length() > MAX_BYTES) {
            rejected = true;
            onTooLarge.accept(tooLarge());
        } else if (!rejected) {
            body.appendBuffer(chunk);
        }
    }

    private static HttpException tooLarge() {
        return new HttpException(
                HttpStatus.TOO_LARGE, "a submission has " + MAX_BYTES + " bytes at most");
    }
}
