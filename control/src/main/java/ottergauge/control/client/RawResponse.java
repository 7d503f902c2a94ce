// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

/** The status and body of an HTTP response. */
public final class RawResponse {

    private final int status;
    private final byte[] body;

    RawResponse(int status, byte[] body) {
        this.status = status;
        this.body = body;
    }

    /** The status code. */
    public int status() {
        return status;
    }

    /** The body. The array is not copied, so callers must not modify it. */
    public byte[] body() {
        return body;
    }
}
