// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * Takes the answer to one call; what comes after the first answer, or after the client left, is
 * dropped.
 */
interface Responder {

    void answer(int status, byte[] json);

    /** Answers that the call can't be carried out now. */
    default void unavailable(String error) {
        answer(HttpStatus.UNAVAILABLE, ErrorJson.of(error));
    }

    /** Has the connection closed once the answer is written. */
    Responder closing();

    /** The handler is called if the client goes before it is answered. */
    void onDisconnect(Runnable handler);
}
