// SPDX-License-Identifier: Apache-2.0

/** Calls to control processes, for the operator's tools. */
package ottergauge.control.client;
