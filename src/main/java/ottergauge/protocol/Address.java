// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** A numeric host and a port. */
public record Address(String host, int port) {

    /** Reads {@code host:port}. */
    public static Address parse(String text) throws ProtocolException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text == null ? "" : text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 1 << 16) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // The port is not a number: falls through to the exception.
        }
        throw new ProtocolException("not an address: " + text);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
