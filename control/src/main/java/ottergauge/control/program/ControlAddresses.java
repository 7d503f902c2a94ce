// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.util.List;
import ottergauge.protocol.Address;
import picocli.CommandLine.Option;

/**
 * The option with the addresses of the control processes, shared by the commands that call them.
 */
final class ControlAddresses {

    @Option(
            names = "--to",
            paramLabel = "ADDRESS",
            required = true,
            split = ",",
            converter = AddressConverter.class,
            description = "The addresses of the control processes.")
    private List<Address> addresses;

    List<Address> list() {
        return addresses;
    }
}
