// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import ottergauge.protocol.Address;

/** Loopback addresses. */
public final class Loopback {

    /** The host of all addresses in use here. */
    public static final String HOST = "127.0.0.1";

    /** An address that nothing is sent to: reducers are measured without sockets. */
    public static final Address UNUSED = new Address(HOST, 9);

    private Loopback() {}

    /** The loopback address with this port. */
    public static Address port(int port) {
        return new Address(HOST, port);
    }
}
