// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import ottergauge.decision.api.AttemptResult;

/** What a server's answer says of the attempt that it ends. */
public final class AttemptResults {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private AttemptResults() {}

    /** Only 503 and 504 marked so prove that nothing ran; any other answer but 200 is an error. */
    public static AttemptResult ofResponse(int status, boolean neverRan) {
        if (status == OK) {
            return AttemptResult.SERVED;
        }
        boolean turnedAway = neverRan && (status == UNAVAILABLE || status == GATEWAY_TIMEOUT);
        return turnedAway ? AttemptResult.REJECTED : AttemptResult.ERROR;
    }
}
