// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.protocol.Address;

/** The address of a control process, and the region that it runs in. */
public record ControlEndpoint(Address address, String region) {}
