// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request's head can't be accepted; the message names what is wrong with it. */
final class InvalidRequestHeadException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    // Without a stack trace: whoever sends many of them should not cost more than others.
    InvalidRequestHeadException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status by which the request is answered. */
    HttpResponseStatus status() {
        return status;
    }
}
