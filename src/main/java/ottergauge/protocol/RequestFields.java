// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The header fields of a request that the decision module needs.
 *
 * @param traceId the client's identifier of the request
 * @param requestClass name of its class
 * @param expiresInMs how long the client waits, in milliseconds; -1 if it is not given
 * @param retry whether the client marks it as a retry
 * @param idempotencyKey null if there is none
 */
public record RequestFields(
        String traceId,
        String requestClass,
        long expiresInMs,
        boolean retry,
        String idempotencyKey) {

    /** The header fields that a request may have at most once. */
    public static final List<String> NAMES =
            List.of(
                    Headers.TRACE_ID,
                    Headers.REQUEST_CLASS,
                    Headers.EXPIRES_IN_MS,
                    Headers.SECOND_TRY,
                    Headers.IDEMPOTENCY_KEY);

    // One hour. If a client states a longer time, the node uses this one.
    private static final long MAX_EXPIRY_MS = 3_600_000;
    private static final int MAX_DIGITS = 18;
    private static final int DELETE = 0x7f;

    /**
     * Reads the fields.
     *
     * @param header returns the value of a header field, or null if it is absent
     */
    public static RequestFields read(UnaryOperator<String> header) throws ProtocolException {
        String traceId = header.apply(Headers.TRACE_ID);
        String requestClass = header.apply(Headers.REQUEST_CLASS);
        if (traceId == null || traceId.isBlank()) {
            throw new ProtocolException("no " + Headers.TRACE_ID);
        }
        if (requestClass == null) {
            throw new ProtocolException("no " + Headers.REQUEST_CLASS);
        }
        String key = header.apply(Headers.IDEMPOTENCY_KEY);
        if (!isVisible(traceId) || !isVisible(requestClass) || (key != null && !isVisible(key))) {
            throw new ProtocolException("a field that goes on holds other than visible characters");
        }
        return new RequestFields(
                traceId,
                requestClass,
                expiry(header.apply(Headers.EXPIRES_IN_MS)),
                "1".equals(header.apply(Headers.SECOND_TRY)),
                key);
    }

    /**
     * Whether text can be forwarded unchanged. A library may reject or alter text with other
     * characters.
     */
    public static boolean isVisible(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < DELETE);
    }

    private static long expiry(String text) throws ProtocolException {
        if (text == null) {
            return -1;
        }
        String digits = text.trim();
        if (digits.isEmpty()
                || digits.length() > MAX_DIGITS
                || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new ProtocolException(Headers.EXPIRES_IN_MS + " is no whole number");
        }
        return Math.min(MAX_EXPIRY_MS, Long.parseLong(digits));
    }
}
