// SPDX-License-Identifier: Apache-2.0

/**
 * JMH benchmarks of the node's state machines (reducers) and codecs. Each benchmark checks the
 * result of the code that it measures.
 */
package ottergauge.capacity.benchmark;
