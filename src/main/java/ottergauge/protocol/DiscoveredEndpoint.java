// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import ottergauge.decision.api.EndpointState;

/**
 * One server as discovery lists it.
 *
 * @param name identifies the server
 * @param address where this node reaches it
 * @param zone name of its zone
 * @param kind name of its machine type
 * @param cell number of its cell
 * @param state whether it takes new requests
 * @param weight its size relative to other servers
 * @param startedAtMs when it started, in milliseconds since the epoch; 0 if that was long ago
 */
public record DiscoveredEndpoint(
        String name,
        Address address,
        String zone,
        String kind,
        int cell,
        EndpointState state,
        double weight,
        long startedAtMs) {}
