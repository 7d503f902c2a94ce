// SPDX-License-Identifier: Apache-2.0

/** The command line of the control role. */
package ottergauge.control.program;
