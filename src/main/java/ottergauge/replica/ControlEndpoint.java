// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.protocol.Address;

/** Where a control process is reached, and the region that it runs in. */
public record ControlEndpoint(Address address, String region) {}
