// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * Receives the response to one request. Responses after the first one, and those after the client
 * has disconnected, are dropped.
 */
interface Responder {

    /** Sends the response. */
    void respond(int status, byte[] json);

    /** Responds that this process can't serve the request now, with one of {@link ErrorJson}. */
    default void respondUnavailable(String error) {
        respond(HttpStatus.UNAVAILABLE, ErrorJson.of(error));
    }

    /** Has the connection closed once the response is written. */
    Responder closeAfterResponse();

    /** Sets the handler to be called if the client disconnects before the response. */
    void onDisconnect(Runnable handler);
}
