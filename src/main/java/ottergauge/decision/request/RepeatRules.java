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
        return request.isCertainlyNotExecuted()
                || isHarmlessAfter(request.firstMaybeExecuted(), request, server, now);
    }

    private static boolean isHarmlessAfter(
            Attempt first, Request request, Server server, long now) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && inScope(requestClass.deduplicationScope(), first.server(), server)
                        && now < first.sentAt() + requestClass.deduplicationWindow());
    }

    /**
     * Returns whether an outstanding attempt may begin, which can be some time after it was chosen:
     * its connection may have been established late.
     */
    public static boolean mayBegin(Attempt attempt, long now) {
        Request request = attempt.request();
        Attempt first = request.firstMaybeExecuted();
        return first == null || isHarmlessAfter(first, request, attempt.server(), now);
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
        long window = attempt.request().requestClass().deduplicationWindow();
        return mayRepeatWithin(attempt, window / 2, now);
    }

    /**
     * Returns whether some server may get another attempt after an outstanding one that its server
     * may have executed. That can end before its response, which is a cancellation.
     */
    public static boolean mayRetryAfter(Attempt attempt, long now) {
        Request request = attempt.request();
        return !request.isComplete()
                && !request.isUnrepeatable()
                && request.limits().cancellationAllowed()
                && request.attempts() < request.limits().maxAttempts()
                && mayRepeatWithin(attempt, request.requestClass().deduplicationWindow(), now);
    }

    private static boolean mayRepeatWithin(Attempt attempt, long window, long now) {
        Idempotency idempotency = attempt.request().requestClass().idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && now < attempt.sentAt() + window);
    }
}
