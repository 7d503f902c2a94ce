// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * What the deployment permits for requests.
 *
 * @param probesAllowed whether servers may be probed for their load
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may advise when to retry
 * @param maxAttempts attempts for one request, at least 1
 * @param maxRetryAfter longest advice, in microseconds
 */
public record RequestLimits(
        boolean probesAllowed,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        int maxAttempts,
        long maxRetryAfter) {}
