// SPDX-License-Identifier: Apache-2.0

/** The command line: runs the measurements in their order and writes the page. */
package ottergauge.capacity.program;
