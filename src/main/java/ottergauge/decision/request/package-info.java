// SPDX-License-Identifier: Apache-2.0

/**
 * Requests before they are sent: {@link ottergauge.decision.request.RequestTable} finds them,
 * {@link ottergauge.decision.request.PendingQueue} orders those that wait, {@link
 * ottergauge.decision.request.AdmissionControl} says which can still be in time, {@link
 * ottergauge.decision.request.RepeatRules} which may be sent again, and {@link
 * ottergauge.decision.request.ClientRetryDetector} which are clients' retries.
 */
package ottergauge.decision.request;
