// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import ottergauge.protocol.Address;

/** Loopback addresses. */
public final class Loopback {

    /** The host of all addresses of the measurements. */
    public static final String HOST = "127.0.0.1";

    /** A placeholder address for measurements that open no sockets. */
    public static final Address UNUSED = new Address(HOST, 9);

    private Loopback() {}

    /** Returns the loopback address with this port. */
    public static Address port(int port) {
        return new Address(HOST, port);
    }
}
