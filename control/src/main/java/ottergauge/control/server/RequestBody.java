// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import ottergauge.resources.ResourceCodec;

/** Reads the body of a call, up to the longest submission. */
final class RequestBody {

    private static final int MAX_BYTES = ResourceCodec.MAX_SUBMISSION_BYTES;

    private final Buffer body = Buffer.buffer();
    private boolean refused;

    private RequestBody() {}

    /** Refuses a call that has a body where none is wanted. */
    static void refuseAny(HttpServerRequest request) throws HttpException {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        boolean chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        if (chunked || (length != null && !length.equals("0"))) {
            throw new HttpException(HttpStatus.BAD_REQUEST, "this call has no body");
        }
    }

    /** Reads a body; the first handler gets it whole, the second hears if it is too long. */
    static void read(
            HttpServerRequest request, Consumer<Buffer> whole, Consumer<HttpException> refuse)
            throws HttpException {
        checkLength(request.getHeader(HttpHeaders.CONTENT_LENGTH));
        RequestBody reading = new RequestBody();
        request.handler(part -> reading.take(part, refuse));
        request.endHandler(
                end -> {
                    if (!reading.refused) {
                        whole.accept(reading.body);
                    }
                });
    }

    private static void checkLength(String length) throws HttpException {
        // The decoder has refused what is no number.
        if (length != null && Long.parseLong(length.trim()) > MAX_BYTES) {
            throw tooLong();
        }
    }

    private void take(Buffer part, Consumer<HttpException> refuse) {
        if (!refused && body.length() + part.length() > MAX_BYTES) {
            refused = true;
            refuse.accept(tooLong());
        } else if (!refused) {
            body.appendBuffer(part);
        }
    }

    private static HttpException tooLong() {
        return new HttpException(
                HttpStatus.TOO_LARGE, "a submission has " + MAX_BYTES + " bytes at most");
    }
}
