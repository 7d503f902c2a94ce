// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.discovery;

import java.io.IOException;
import java.time.Duration;
import ottergauge.control.client.BoundedHttpClient;
import ottergauge.control.client.RawResponse;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.Paths;
import ottergauge.protocol.ProtocolException;

/**
 * Watches discovery's endpoint list with long polls. Reads the full list first, then its changes.
 * Calls block. Not thread-safe.
 */
public final class DiscoveryClient {

    private static final int OK = 200;
    private static final long WAIT_MS = 5_000;
    private static final long RESPONSE_MARGIN_MS = 5_000;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(WAIT_MS + RESPONSE_MARGIN_MS);
    private static final long MAX_LIST_BYTES = 32L << 20;
    private static final long NO_VERSION = -1;

    private final BoundedHttpClient http = new BoundedHttpClient();
    private final Address address;
    private long version = NO_VERSION;

    /** Creates a client that reads the full list first. */
    public DiscoveryClient(Address address) {
        this.address = address;
    }

    /**
     * Reads the full list, or the changes since the last call. Waits up to five seconds for
     * changes; the list of changes may be empty.
     *
     * @throws IOException if there is no response with status 200
     * @throws ProtocolException if the response is malformed, or if discovery's version decreased
     */
    public EndpointList next() throws IOException, ProtocolException, InterruptedException {
        String query = version < 0 ? "" : "?after=" + version + "&wait_ms=" + WAIT_MS;
        RawResponse response =
                http.get(address, Paths.ENDPOINTS + query, CALL_TIMEOUT, MAX_LIST_BYTES);
        if (response.status() != OK) {
            throw new IOException("discovery responded with status " + response.status());
        }
        EndpointList list = EndpointList.read(response.body());
        if (!list.complete() && list.version() < version) {
            version = NO_VERSION;
            throw new ProtocolException("discovery's versions went back, requesting the full list");
        }
        if (!list.complete() && version < 0) {
            throw new ProtocolException(
                    "discovery returned changes where the full list was requested");
        }
        version = list.version();
        return list;
    }
}
