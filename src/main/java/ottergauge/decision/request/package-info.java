// SPDX-License-Identifier: Apache-2.0

/**
 * Requests before they are sent. {@link ottergauge.decision.request.RequestTable} finds them by id,
 * {@link ottergauge.decision.request.PendingQueue} orders those that wait, {@link
 * ottergauge.decision.request.AdmissionControl} decides which can still meet their deadlines,
 * {@link ottergauge.decision.request.RepeatRules} decides which may be sent again, and {@link
 * ottergauge.decision.request.ClientRetryDetector} detects clients' retries.
 */
package ottergauge.decision.request;
