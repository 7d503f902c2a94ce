// SPDX-License-Identifier: Apache-2.0

/**
 * The node's state and its reaction to each event, without I/O and without a clock.
 *
 * <p>{@link ottergauge.routing.Router} is the reducer: the transport hands it an {@link
 * ottergauge.routing.Event} with its instant, and it asks for {@link ottergauge.routing.Effect}s in
 * order. It owns the decision engine and passes on what that decides; all else it delegates to the
 * part that owns the state:
 *
 * <ul>
 *   <li>{@code DownstreamConnections}: clients' connections and their timeouts.
 *   <li>{@code RequestHandler} with {@code InFlightRequests}: requests from arrival to response.
 *   <li>{@code StreamedResponses} and {@code StreamBudget}: bodies that are not buffered.
 *   <li>{@code Attempts}: attempts and probes from the decision to their result.
 *   <li>{@code UpstreamPool} with {@code ServerPool}, {@code PooledConnection} and {@code
 *       ConnectTimeoutEstimator}: connections to servers.
 *   <li>{@code SocketBudget}: how many connections there may be.
 *   <li>{@code DiscoveryWatch} with {@code PropagationDeadline}: polls of discovery.
 *   <li>{@code EndpointRegistry}: listed endpoints and their maintenance.
 *   <li>{@code EffectiveEndpoints} with {@code EndpointSnapshotMapper} and {@code EndpointIds}:
 *       what the decision module and the pool have of them.
 *   <li>{@code EffectiveSettings} with {@code RequestClasses}: settings and their reload.
 *   <li>{@code AdminState} and {@code Metrics}: what operators ask for.
 *   <li>{@code Shutdown}: graceful shutdown.
 * </ul>
 *
 * <p>All of it belongs to one thread, the one that calls the router. Requests are retried, hedged,
 * queued or rejected by {@link ottergauge.decision.DecisionEngine} alone.
 */
package ottergauge.routing;
