// SPDX-License-Identifier: Apache-2.0

/**
 * Estimates of the servers' load: {@link ottergauge.decision.load.LoadSourceSelector} selects where
 * loads are known from, {@link ottergauge.decision.load.LoadEstimates} tells how many requests a
 * server holds, {@link ottergauge.decision.load.CapacityEstimates} how many it executes at a time,
 * and {@link ottergauge.decision.load.ServiceTimes} what one takes. {@link
 * ottergauge.decision.load.ProbeTracker} owns probe timeouts, {@link
 * ottergauge.decision.load.ProbeBudget} the number of probes.
 */
package ottergauge.decision.load;
