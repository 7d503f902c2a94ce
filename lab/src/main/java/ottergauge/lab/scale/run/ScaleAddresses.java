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

    /** Where discovery listens. */
    String discovery() {
        return at(DISCOVERY, 1);
    }

    /** Where the hollow nodes of a region, from 0 on, find discovery. */
    String discoveryFrom(int region) {
        return at(REGION_LINKS + region, 1);
    }

    /** Where a real node, from 0 on, finds discovery. */
    String discoveryOfReal(int node) {
        return at(REAL_LINKS + node, 1);
    }

    /** Where a real node's calls come from, as discovery sees it. */
    String sourceOfReal(int node) {
        return host(REAL_SOURCE, node + 1);
    }

    /** Where a real node listens. */
    String real(int node) {
        return at(REAL_LISTEN, node + 1);
    }
}
