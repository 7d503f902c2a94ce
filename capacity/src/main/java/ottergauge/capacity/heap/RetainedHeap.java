// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.heap;

import org.openjdk.jol.info.GraphLayout;
import ottergauge.capacity.workload.DecisionDriver;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.ListedServers;
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
    public static long ofList(int servers, long seed) {
        return bytes(Fleet.draw(servers, seed, Loopback.UNUSED).whole());
    }

    /** Of a decision module that has served for two windows, its settings included. */
    public static long ofDecisions(int servers, int classes, long seed) {
        NodeConfiguration configuration = configuration(classes, seed, Fleet.unknown());
        DecisionDriver driver =
                new DecisionDriver(
                        configuration.read().settings().decisions(),
                        seed,
                        ListedServers.draw(servers, seed).whole());
        driver.serveWindows(WINDOWS);
        return bytes(driver.decide());
    }

    /** Of a router with the list in its configuration, which it keeps. */
    public static long ofRouter(int servers, int classes, long seed) {
        Fleet fleet = Fleet.draw(servers, seed, Loopback.UNUSED);
        RouterDriver driver = new RouterDriver(configuration(classes, seed, fleet.whole()).read());
        return bytes(driver.router());
    }

    /** Of a router that was told the list by discovery. */
    public static long ofToldRouter(int servers, int classes, long seed) {
        Fleet fleet = Fleet.draw(servers, seed, Loopback.UNUSED);
        RouterDriver driver =
                new RouterDriver(configuration(classes, seed, Fleet.unknown()).read());
        driver.callDiscovery();
        driver.answer(readAgain(fleet.whole()));
        return bytes(driver.router());
    }

    // As it comes over a socket: its strings are shared with nothing else.
    private static EndpointList readAgain(EndpointList list) {
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
