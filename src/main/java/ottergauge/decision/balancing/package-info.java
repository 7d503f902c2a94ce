// SPDX-License-Identifier: Apache-2.0

/**
 * Load balancing over servers. {@link ottergauge.decision.balancing.ServerSubset} holds the servers
 * that this node sends to, {@link ottergauge.decision.balancing.ClassWeights} holds their weights
 * for each request class, and {@link ottergauge.decision.balancing.CacheAffinity} assigns affinity
 * keys to them.
 */
package ottergauge.decision.balancing;
