// SPDX-License-Identifier: Apache-2.0

/**
 * The HTTP API of a control process, on one Vert.x event loop that owns all state of this package.
 *
 * <p>The main classes:
 *
 * <ul>
 *   <li>{@link ottergauge.control.server.ControlServer} starts and stops the HTTP server. The
 *       consensus thread notifies it of changes of the log.
 *   <li>{@code RequestDispatcher} routes each {@code HttpExchange}: long polls to {@code
 *       PendingPolls}, requests for snapshot pages to the rate-limited {@code SnapshotQueue}, and
 *       submissions to {@code SubmissionHandler}. It responds to the status call itself, from the
 *       {@code NodeStatusTable}.
 *   <li>{@code QueryParameters} and {@code RequestBody} parse requests; an {@code HttpException}
 *       rejects a request. {@code StatusJson} and {@code ErrorJson} write responses.
 *   <li>{@code ConnectionTracker} limits the number of connections and closes idle and slow ones;
 *       {@code RateLimitedLogger} limits the rate of warnings.
 * </ul>
 */
package ottergauge.control.server;
