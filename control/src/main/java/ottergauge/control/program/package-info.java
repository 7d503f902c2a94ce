// SPDX-License-Identifier: Apache-2.0

/**
 * The command line of the control process. {@link ottergauge.control.program.Main} has four
 * commands: {@code ServeCommand} runs a control process, {@code PublishCommand} publishes a {@code
 * SubmissionFile}, {@code StatusCommand} prints the {@code ReplicationLagTable}, and {@code
 * ImportCommand} imports servers from discovery.
 */
package ottergauge.control.program;
