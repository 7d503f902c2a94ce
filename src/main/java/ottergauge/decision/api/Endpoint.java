// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * One server of the endpoint list.
 *
 * @param id unique and stable
 * @param zone index of its zone; -1 if there is none
 * @param kind index of its machine type; -1 if there is none
 * @param cell number of its cell, the smallest {@link DeduplicationScope}
 * @param state whether it takes new requests
 * @param nominalWeight its size relative to other servers
 * @param startedAt instant of its start in microseconds; 0 if it has run for long
 */
public record Endpoint(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double nominalWeight,
        long startedAt) {}
