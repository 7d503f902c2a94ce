// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;

/** Records the response. */
final class RecordingResponder implements Responder {

    int status;
    byte[] body;
    boolean closesConnection;
    private Runnable gone = () -> {};

    @Override
    public void respond(int answered, byte[] json) {
        assertEquals(0, status, "answered twice");
        status = answered;
        body = json;
    }

    @Override
    public Responder closeAfterResponse() {
        closesConnection = true;
        return this;
    }

    @Override
    public void onDisconnect(Runnable handler) {
        gone = handler;
    }

    /** The client closes its connection. */
    void leave() {
        gone.run();
    }

    boolean isAnswered() {
        return status != 0;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
