// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * Thrown to reject a request with an HTTP status. The message is one line and is sent to the
 * client.
 */
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
