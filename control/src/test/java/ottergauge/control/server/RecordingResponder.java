// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;

/** A responder that records the response. */
final class RecordingResponder implements Responder {

    int status;
    byte[] body;
    boolean closesConnection;
    private Runnable disconnected = () -> {};

    @Override
    public void respond(int responseStatus, byte[] json) {
        assertEquals(0, status, "more than one response");
        status = responseStatus;
        body = json;
    }

    @Override
    public Responder closeAfterResponse() {
        closesConnection = true;
        return this;
    }

    @Override
    public void onDisconnect(Runnable handler) {
        disconnected = handler;
    }

    /** Simulates that the client closes its connection. */
    void disconnect() {
        disconnected.run();
    }

    boolean hasResponse() {
        return status != 0;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
