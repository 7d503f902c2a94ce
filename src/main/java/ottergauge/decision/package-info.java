// SPDX-License-Identifier: Apache-2.0

/**
 * Decides what happens to each request of a node: which server gets it, and when it is retried,
 * rejected or failed.
 *
 * <p>{@link ottergauge.decision.DecisionEngine} receives events and returns actions. It has no
 * clock, thread or I/O of its own. It only dispatches to its parts, each of which owns its state:
 *
 * <ul>
 *   <li>{@code api}: settings, events and actions
 *   <li>{@code model}: servers, requests and attempts
 *   <li>{@code balancing}: the subset of servers, weight tables and affinity keys
 *   <li>{@code load}: load, capacity and service times of servers
 *   <li>{@code request}: the pending queue, admission control and retries
 *   <li>{@code health}: outlier ejection, silent servers and slow start
 *   <li>{@code selection}: the selection of a server for a request
 *   <li>{@code endpoints}: endpoint updates and discovery
 *   <li>{@code limits}, {@code index}, {@code ring}: algorithms and data structures that don't
 *       depend on servers
 * </ul>
 *
 * <p>The types of this package connect the parts. {@code RequestLifecycle} manages each request
 * until it has its one final response, {@code Dispatcher} sends pending requests, {@code
 * ResultFeedback} passes results to the estimates, and {@code TimerSchedule} sets the timer.
 * Instants and time spans are in microseconds. docs/design.md describes each mechanism and when it
 * applies.
 */
package ottergauge.decision;
