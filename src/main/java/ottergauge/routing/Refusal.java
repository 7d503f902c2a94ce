// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * A final response without a server's answer.
 *
 * @param status its status
 * @param retryAfterMicros advice when to retry; 0 for none
 */
record Refusal(int status, long retryAfterMicros) {}
