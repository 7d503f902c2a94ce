// SPDX-License-Identifier: Apache-2.0
/**
 * The command line: {@link ottergauge.program.Main} and a class for each subcommand, which read
 * their arguments and files, run what another package implements, and turn its outcome into an exit
 * code.
 */
package ottergauge.program;
