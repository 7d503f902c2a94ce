// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request's head cannot be accepted; the message names the error. */
final class InvalidRequestHeadException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    // Without a stack trace: a client that sends many invalid requests should not cost more CPU
    // than others.
    InvalidRequestHeadException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status of the response. */
    HttpResponseStatus status() {
        return status;
    }
}
