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
 * Measures the retained heap of the node's data structures: the size of all objects that can be
 * reached from them, counted by JOL (Java Object Layout).
 */
public final class RetainedHeap {

    // After two windows the engine has computed the server weights of all request classes.
    private static final int WINDOWS = 2;

    private RetainedHeap() {}

    /** Returns the bytes of a full endpoint list. */
    public static long ofEndpointList(int servers, long seed) {
        return bytes(Fleet.generate(servers, seed, Loopback.UNUSED).fullList());
    }

    /** Returns the bytes of a decision engine after two windows of requests, settings included. */
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

    /**
     * Returns the bytes of a router whose configuration contains the list. The router keeps its
     * configuration.
     */
    public static long ofRouterWithConfiguredList(int servers, int classes, long seed) {
        Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        RouterDriver driver =
                new RouterDriver(configuration(classes, seed, fleet.fullList()).read());
        return bytes(driver.router());
    }

    /** Returns the bytes of a router that received the list from discovery. */
    public static long ofRouterWithDiscoveredList(int servers, int classes, long seed) {
        Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        RouterDriver driver =
                new RouterDriver(configuration(classes, seed, Fleet.emptyList()).read());
        driver.awaitFirstPoll();
        driver.answer(encodeAndDecode(fleet.fullList()));
        return bytes(driver.router());
    }

    // Returns an equal list whose strings are shared with no other object, like a list that was
    // read from a socket.
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
