// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.http.HttpConnection;
import java.io.IOException;
import ottergauge.routing.CloseReason;

/** An open connection and why it is going to end; the first reason given counts. */
final class Peer<C extends HttpConnection> {
    final long number;
    final C connection;
    private CloseReason reason;

    Peer(long number, C connection) {
        this.number = number;
        this.connection = connection;
    }

    void because(CloseReason why) {
        reason = reason == null ? why : reason;
    }

    /** Takes what the library says went wrong: an error of the socket, or bytes that are no message. */
    void broke(Throwable error) {
        because(error instanceof IOException ? CloseReason.RESET : CloseReason.MALFORMED);
    }

    void close(CloseReason why) {
        because(why);
        connection.close();
    }

    CloseReason reason() {
        return reason == null ? CloseReason.PEER_CLOSED : reason;
    }
}
