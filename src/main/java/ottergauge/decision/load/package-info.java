// SPDX-License-Identifier: Apache-2.0

/**
 * Estimates of the servers' load. {@link ottergauge.decision.load.LoadSourceSelector} selects the
 * source of load information. {@link ottergauge.decision.load.LoadEstimates} estimates how many
 * requests a server holds, {@link ottergauge.decision.load.CapacityEstimates} how many it executes
 * concurrently, and {@link ottergauge.decision.load.ServiceTimes} how long one request takes.
 * {@link ottergauge.decision.load.ProbeTracker} owns the probe timeouts, {@link
 * ottergauge.decision.load.ProbeBudget} limits the number of probes.
 */
package ottergauge.decision.load;
