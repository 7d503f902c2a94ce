// SPDX-License-Identifier: Apache-2.0

/** The configuration of a control process, read from JSON and checked whole. */
package ottergauge.control.config;
