// SPDX-License-Identifier: Apache-2.0

/**
 * Decides what happens to each request of a node: which server gets it, when it is retried,
 * rejected or failed.
 *
 * <p>{@link ottergauge.decision.DecisionEngine} takes events and returns actions; it has no clock,
 * thread or I/O of its own. It only dispatches to the parts, of which each owns its state:
 *
 * <ul>
 *   <li>{@code api}: settings, events and actions
 *   <li>{@code model}: servers, requests and attempts
 *   <li>{@code balancing}: the subset of servers, weight tables, affinity keys
 *   <li>{@code load}: load, capacity and service times of servers
 *   <li>{@code request}: the pending queue, admission, retries
 *   <li>{@code health}: outlier ejection, silent servers, slow start
 *   <li>{@code selection}: the choice of a server for a request
 *   <li>{@code endpoints}: endpoint updates and discovery
 *   <li>{@code limits}, {@code index}, {@code ring}: algorithms and data structures without
 *       knowledge of servers
 * </ul>
 *
 * <p>The types of this package bring the parts together: {@code RequestLifecycle} takes a request
 * to its one final response, {@code Dispatcher} sends pending requests, {@code ResultFeedback}
 * feeds results to the estimates, {@code TimerSchedule} sets the timer. Instants and spans are
 * microseconds. docs/design.md describes each mechanism and when it acts.
 */
package ottergauge.decision;
