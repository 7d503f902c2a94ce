// SPDX-License-Identifier: Apache-2.0
/**
 * The node's sockets, timers and files. {@link ottergauge.routing.Router} decides what happens on
 * them.
 *
 * <p>{@link ottergauge.transport.NodeServer} runs one node: it hands events to the router one by
 * one ({@code EventQueue}) and has {@code EffectPerformer} perform the effects. Everything runs on
 * one event loop ({@code SingleLoopTransport}); no state is shared with another thread.
 *
 * <ul>
 *   <li>Connections: {@code DownstreamConnections} owns the clients' ({@code ClientConnection}),
 *       {@code UpstreamConnector} those to servers and {@code DiscoveryClient} the one to discovery
 *       ({@code OutboundConnection}), {@code AdminListener} the operators' ({@code
 *       AdminConnection}).
 *   <li>Messages: {@code HttpFraming} decodes them strictly; a body is buffered in a {@code
 *       BodyBuffer} or, if it is large, streamed by a {@code StreamedBody}.
 *   <li>Load: {@code ConnectionLimiter} bounds the open connections, {@code EventLoopMonitor}
 *       estimates how long input has waited to be read, {@code Timers} never fire early.
 *   <li>Hot restart: {@code HotRestartDirectory} holds what two processes of one node share on
 *       disk.
 *   <li>Start: {@link ottergauge.transport.JitWarmUp} and {@code SelfRequestWarmUp} run before
 *       clients are served.
 *   <li>Scale tests: {@link ottergauge.transport.HollowFleet} runs many nodes without clients and
 *       servers on a few loops, and reports {@link ottergauge.transport.HollowEvent}s.
 * </ul>
 */
package ottergauge.transport;
