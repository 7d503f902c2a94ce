// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.heap;

import org.openjdk.jol.info.GraphLayout;
import ottergauge.capacity.workload.DecisionDriver;
import ottergauge.capacity.workload.DecisionEndpoints;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.NodeConfiguration;
import ottergauge.capacity.workload.RouterDriver;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.ProtocolException;

/**
 * Bytes that can be reached from the node's state, as JOL's walk over the object graph counts them.
 */
public final class RetainedHeap {

    // All rows have their weights after two windows.
    private static final int WINDOWS = 2;

    private RetainedHeap() {}

    /** Of a list as it is read from discovery's answer. */
    public static long ofEndpointList(int servers, long seed) {
        return bytes(Fleet.generate(servers, seed, Loopback.UNUSED).fullList());
    }

    /** Of a decision module that has served for two windows, its settings included. */
    public static long ofDecisionEngine(int servers, int classes, long seed) {
        NodeConfiguration configuration = configuration(classes, seed, Fleet.emptyList());
        DecisionDriver driver =
                new DecisionDriver(
                        configuration.read().settings().decisions(),
                        seed,
                        DecisionEndpoints.generate(servers, seed).fullList());
        driver.serveWindows(WINDOWS);
        return bytes(driver.engine());
    }

    /** Of a router with the list in its configuration, which it keeps. */
    public static long ofRouterWithConfiguredList(int servers, int classes, long seed) {
        Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        RouterDriver driver =
                new RouterDriver(configuration(classes, seed, fleet.fullList()).read());
        return bytes(driver.router());
    }

    /** Of a router that was told the list by discovery. */
    public static long ofRouterWithDiscoveredList(int servers, int classes, long seed) {
        Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        RouterDriver driver =
                new RouterDriver(configuration(classes, seed, Fleet.emptyList()).read());
        driver.awaitFirstPoll();
        driver.answer(encodeAndDecode(fleet.fullList()));
        return bytes(driver.router());
    }

    // As it comes over a socket: its strings are shared with nothing else.
    private static EndpointList encodeAndDecode(EndpointList list) {
        try {
            return EndpointList.read(list.json());
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private static NodeConfiguration configuration(int classes, long seed, EndpointList known) {
        return new NodeConfiguration(Loopback.UNUSED, Loopback.UNUSED, seed, classes, known);
    }

    private static long bytes(Object root) {
        return GraphLayout.parseInstance(root).totalSize();
    }
}
