// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** A request that is rejected with an HTTP status; the message is one line for the client. */
final class HttpException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The response's status code. */
    int status() {
        return status;
    }
}
