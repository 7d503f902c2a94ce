// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import ottergauge.lab.net.LoopbackAddresses;

/** The loopback addresses of one scale test, as HOST:PORT. */
record ScaleAddresses(LoopbackAddresses range) {

    private static final int DISCOVERY = 2;
    private static final int REAL_LISTEN = 3;
    private static final int REAL_SOURCE = 4;
    private static final int REGION_LINKS = 10;
    private static final int REAL_LINKS = 40;

    private String host(int third, int fourth) {
        return "127." + range.net() + "." + third + "." + fourth;
    }

    private String at(int third, int fourth) {
        return host(third, fourth) + ":" + range.port();
    }

    /** The address at which discovery listens. */
    String discovery() {
        return at(DISCOVERY, 1);
    }

    /**
     * The address at which the hollow nodes of a region reach discovery; {@code region} starts at
     * 0.
     */
    String discoveryFrom(int region) {
        return at(REGION_LINKS + region, 1);
    }

    /** The address at which a real node reaches discovery; {@code node} starts at 0. */
    String discoveryOfReal(int node) {
        return at(REAL_LINKS + node, 1);
    }

    /** The source address of a real node's calls, as discovery sees it. */
    String sourceOfReal(int node) {
        return host(REAL_SOURCE, node + 1);
    }

    /** The address at which a real node listens. */
    String real(int node) {
        return at(REAL_LISTEN, node + 1);
    }
}
