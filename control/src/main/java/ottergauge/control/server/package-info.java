// SPDX-License-Identifier: Apache-2.0

/**
 * The HTTP API of a control process, on one Vert.x event loop that owns all state of this package.
 *
 * <p>A tour:
 *
 * <ul>
 *   <li>{@link ottergauge.control.server.ControlServer} listens and stops, and is notified by the
 *       consensus' thread of changes of the log.
 *   <li>{@code RequestDispatcher} routes each {@code HttpExchange}: long polls to {@code
 *       PendingPolls}, snapshot pages to the paced {@code SnapshotQueue}, submissions to {@code
 *       SubmissionHandler}; it answers the status call itself, from the {@code NodeStatusTable}.
 *   <li>{@code QueryParameters} and {@code RequestBody} parse requests; an {@code HttpException} is
 *       a request that is rejected. {@code StatusJson} and {@code ErrorJson} write responses.
 *   <li>{@code ConnectionTracker} limits connections and closes idle and slow ones; {@code
 *       RateLimitedLogger} limits warnings.
 * </ul>
 */
package ottergauge.control.server;
