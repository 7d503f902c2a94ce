// SPDX-License-Identifier: Apache-2.0

/**
 * The node's wire and file formats, and the types that they are parsed into.
 *
 * <ul>
 *   <li>{@link ottergauge.protocol.NodeConfig}: the configuration file, with {@link
 *       ottergauge.protocol.NodeSettings} and {@link ottergauge.protocol.ControlPlaneConfig}.
 *   <li>{@link ottergauge.protocol.EndpointList}: discovery's answer and the endpoint cache, with
 *       {@link ottergauge.protocol.EndpointCodec}.
 *   <li>{@link ottergauge.protocol.RequestFields}, {@link ottergauge.protocol.LoadReportReader} and
 *       {@link ottergauge.protocol.AttemptResults}: requests and responses.
 *   <li>{@link ottergauge.protocol.Headers}, {@link ottergauge.protocol.Paths} and {@link
 *       ottergauge.protocol.BodyLimits}: names and limits of the protocol.
 * </ul>
 *
 * <p>The types are immutable and have no state. Input that violates a format is reported by a
 * {@link ottergauge.protocol.ProtocolException}.
 */
package ottergauge.protocol;
