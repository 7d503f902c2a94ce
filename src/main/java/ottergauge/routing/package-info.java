// SPDX-License-Identifier: Apache-2.0

/**
 * The node's state and its reaction to each event, without I/O and without a clock.
 *
 * <p>{@link ottergauge.routing.Router} is the reducer: the transport passes it each {@link
 * ottergauge.routing.Event} with the time of the event, and it emits {@link
 * ottergauge.routing.Effect}s in order. It owns the decision engine and dispatches that engine's
 * actions. It delegates everything else to the class that owns the state:
 *
 * <ul>
 *   <li>{@code DownstreamConnections}: clients' connections and their timeouts.
 *   <li>{@code RequestHandler} with {@code InFlightRequests}: requests from arrival to response.
 *   <li>{@code UnsizedResponses}: responses of unknown length until they are complete or streamed.
 *   <li>{@code StreamedResponses} and {@code StreamBudget}: bodies that are not buffered.
 *   <li>{@code Attempts}: attempts and probes from the decision to their result.
 *   <li>{@code UpstreamPool} with {@code ServerPool}, {@code PooledConnection} and {@code
 *       ConnectTimeoutEstimator}: connections to servers.
 *   <li>{@code SocketBudget}: the limit on open connections.
 *   <li>{@code DiscoveryWatch} with {@code PropagationDeadline}: polls of discovery.
 *   <li>{@code EndpointRegistry}: listed endpoints and their maintenance.
 *   <li>{@code EffectiveEndpoints} with {@code EndpointSnapshotMapper} and {@code EndpointIds}: the
 *       endpoint list as the decision module and the connection pool use it.
 *   <li>{@code EffectiveSettings} with {@code RequestClasses}: settings and their reload.
 *   <li>{@code AdminState} and {@code Metrics}: operators' requests.
 *   <li>{@code Shutdown}: graceful shutdown.
 * </ul>
 *
 * <p>All of this state is confined to one thread, the one that calls the router. Only {@link
 * ottergauge.decision.DecisionEngine} decides whether a request is retried, hedged, queued or
 * rejected.
 */
package ottergauge.routing;
