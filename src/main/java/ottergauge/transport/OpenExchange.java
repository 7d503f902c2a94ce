// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

/**
 * How far the request on a connection had come when the connection ended, for the log.
 *
 * @param traceId the request's trace id
 * @param attempt the index of the attempt among the request's attempts; negative on a client's
 *     connection
 * @param phase what the connection was waiting for
 * @param status the status of the response whose head has arrived or been written; 0 if none
 * @param responseBytes how many bytes of the response's body have arrived from the server
 * @param elapsedMs time since the request was written to the server, or since its head arrived from
 *     the client, in milliseconds
 */
record OpenExchange(
        String traceId, int attempt, String phase, int status, long responseBytes, long elapsedMs) {

    /** The fields of the log line. */
    String logFields() {
        String attemptField = attempt < 0 ? "" : " attempt=" + attempt;
        return "trace="
                + traceId
                + attemptField
                + " phase="
                + phase
                + " status="
                + status
                + " bytes="
                + responseBytes
                + " elapsed_ms="
                + elapsedMs;
    }
}
