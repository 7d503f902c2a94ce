// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** A call that isn't carried out; the message says in one line why. */
final class HttpException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    int status() {
        return status;
    }
}
