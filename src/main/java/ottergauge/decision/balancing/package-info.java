// SPDX-License-Identifier: Apache-2.0

/**
 * The rotation over servers: {@link ottergauge.decision.balancing.ServerSubset} holds the servers
 * that this node sends to, {@link ottergauge.decision.balancing.ClassWeights} the weights of each
 * class over them, and {@link ottergauge.decision.balancing.CacheAffinity} assigns keys to them.
 */
package ottergauge.decision.balancing;
