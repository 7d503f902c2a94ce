// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import ottergauge.decision.api.AttemptResult;

/** Maps a server's responses to the results of attempts. */
public final class AttemptResults {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private AttemptResults() {}

    /**
     * The result of an attempt, derived from its response. Only 503 and 504 with {@link
     * Headers#NEVER_RAN} prove that the server did not run the request. Any other status except 200
     * is an error.
     */
    public static AttemptResult ofResponse(int status, boolean neverRan) {
        if (status == OK) {
            return AttemptResult.SERVED;
        }
        boolean rejected = neverRan && (status == UNAVAILABLE || status == GATEWAY_TIMEOUT);
        return rejected ? AttemptResult.REJECTED : AttemptResult.ERROR;
    }
}
