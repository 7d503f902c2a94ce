// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;

/** Rules that prevent a request from taking effect twice. */
public final class RepeatRules {

    private RepeatRules() {}

    /** Returns whether the request may be rejected, which tells the client that a retry is safe. */
    public static boolean mayReject(Request request) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.isCertainlyNotExecuted()
                || (requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.FLEET);
    }

    /**
     * Returns whether the next attempt of a request may be sent to a server. The request must have
     * no outstanding attempts.
     */
    public static boolean mayAttempt(Request request, Server server, long now) {
        return isHarmless(request, server, now)
                && !request.isUnrepeatable()
                && request.attempts() < request.limits().maxAttempts();
    }

    private static boolean isHarmless(Request request, Server server, long now) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.isCertainlyNotExecuted()) {
            return true;
        }
        Attempt first = request.firstMaybeExecuted();
        return requestClass.idempotency() == Idempotency.KEYED
                && inScope(requestClass.deduplicationScope(), first.server(), server)
                && now < first.sentAt() + requestClass.deduplicationWindow();
    }

    private static boolean inScope(DeduplicationScope scope, Server first, Server second) {
        return switch (scope) {
            case FLEET -> true;
            case ZONE -> first.endpoint().zone() == second.endpoint().zone();
            case CELL -> first.endpoint().cell() == second.endpoint().cell();
        };
    }

    /** Returns whether an outstanding attempt may be cancelled and replaced by another one. */
    public static boolean mayReplace(Attempt attempt, long now) {
        Request request = attempt.request();
        return !request.isComplete()
                && !request.hasResponseStarted()
                && !request.isUnrepeatable()
                && mayRepeat(attempt, now)
                && request.limits().cancellationAllowed()
                && request.attempts() < request.limits().maxAttempts();
    }

    private static boolean mayRepeat(Attempt attempt, long now) {
        RequestClass requestClass = attempt.request().requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && now < attempt.sentAt() + requestClass.deduplicationWindow() / 2);
    }
}
