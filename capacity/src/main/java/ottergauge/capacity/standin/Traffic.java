// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

/** The traffic of a stand-in: number of requests, and bytes received and sent on its sockets. */
public record Traffic(long calls, long receivedBytes, long sentBytes) {

    /** Returns the traffic since an earlier reading. */
    public Traffic since(Traffic earlier) {
        return new Traffic(
                calls - earlier.calls,
                receivedBytes - earlier.receivedBytes,
                sentBytes - earlier.sentBytes);
    }

    /** Returns the bytes of both directions. */
    public long bytes() {
        return receivedBytes + sentBytes;
    }
}
