// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * Sends the response to one request. Further responses, and responses after the client has
 * disconnected, are dropped.
 */
interface Responder {

    /** Sends the response. */
    void respond(int status, byte[] json);

    /**
     * Responds that this process can't serve the request now, with an error code from {@link
     * ErrorJson}.
     */
    default void respondUnavailable(String error) {
        respond(HttpStatus.UNAVAILABLE, ErrorJson.of(error));
    }

    /** Closes the connection after the response has been written. */
    Responder closeAfterResponse();

    /** Sets a handler that is called if the client disconnects before the response. */
    void onDisconnect(Runnable handler);
}
