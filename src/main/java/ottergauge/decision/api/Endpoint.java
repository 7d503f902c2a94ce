// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * One server of the endpoint list.
 *
 * @param id unique and stable id
 * @param zone index of its zone, or -1 if there is none
 * @param kind index of its machine type, or -1 if there is none
 * @param cell number of its cell, the smallest {@link DeduplicationScope}
 * @param state whether it accepts new requests
 * @param nominalWeight its size relative to other servers
 * @param startedAt instant of its start in microseconds, or 0 if it started long ago
 */
public record Endpoint(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double nominalWeight,
        long startedAt) {}
