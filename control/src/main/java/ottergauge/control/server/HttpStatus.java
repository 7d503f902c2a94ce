// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** The status codes of responses. */
final class HttpStatus {

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int GONE = 410;
    static final int TOO_LARGE = 413;
    static final int URI_TOO_LONG = 414;
    static final int HEADERS_TOO_LARGE = 431;
    static final int UNAVAILABLE = 503;

    private HttpStatus() {}
}
