// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The limits that the deployment sets for requests.
 *
 * @param probesAllowed whether servers may be probed for their load
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may advise when to retry
 * @param maxAttempts maximum number of attempts per request, at least 1
 * @param maxRetryAfter maximum retry delay that a rejection advises, in microseconds
 */
public record RequestLimits(
        boolean probesAllowed,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        int maxAttempts,
        long maxRetryAfter) {}
