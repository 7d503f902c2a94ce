// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

/** What has passed at a stand-in: calls, and the bytes of requests and answers on its sockets. */
public record Traffic(long calls, long received, long sent) {

    /** What has passed since an earlier look. */
    public Traffic since(Traffic before) {
        return new Traffic(calls - before.calls, received - before.received, sent - before.sent);
    }

    /** The bytes of both ways. */
    public long bytes() {
        return received + sent;
    }
}
