// SPDX-License-Identifier: Apache-2.0

/**
 * The HTTP side of a control process: long polls for changes, paced snapshots, submissions, status.
 */
package ottergauge.control.server;
