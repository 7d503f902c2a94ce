// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Parses addresses on the command line. */
final class AddressConverter implements ITypeConverter<Address> {

    @Override
    public Address convert(String value) {
        try {
            return Address.parse(value);
        } catch (ProtocolException e) {
            throw new TypeConversionException(
                    "'" + value + "' is not a numeric host, : and a port");
        }
    }
}
