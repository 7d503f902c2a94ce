// SPDX-License-Identifier: Apache-2.0

/** JMH benchmarks of the node's reducers and codecs; each checks the result of what it measures. */
package ottergauge.capacity.benchmark;
