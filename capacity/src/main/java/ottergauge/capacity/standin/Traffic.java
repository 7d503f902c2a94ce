// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

/** What has passed at a stand-in: calls, and the bytes of requests and answers on its sockets. */
public record Traffic(long calls, long receivedBytes, long sentBytes) {

    /** What has passed since an earlier look. */
    public Traffic since(Traffic earlier) {
        return new Traffic(
                calls - earlier.calls,
                receivedBytes - earlier.receivedBytes,
                sentBytes - earlier.sentBytes);
    }

    /** The bytes of both ways. */
    public long bytes() {
        return receivedBytes + sentBytes;
    }
}
