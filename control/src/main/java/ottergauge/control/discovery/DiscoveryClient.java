// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.discovery;

import java.io.IOException;
import java.time.Duration;
import ottergauge.control.client.BoundedHttpClient;
import ottergauge.control.client.BoundedHttpClient.RawResponse;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.Paths;
import ottergauge.protocol.ProtocolException;

/** Follows discovery's list by a watch: whole at first, then what has changed. */
public final class DiscoveryClient {

    private static final int OK = 200;
    private static final long WAIT_MS = 5_000;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(WAIT_MS + 5_000);
    private static final long MAX_LIST_BYTES = 32L << 20;
    private static final long NO_VERSION = -1;

    private final BoundedHttpClient calls = new BoundedHttpClient();
    private final Address address;
    private long version = NO_VERSION;

    public DiscoveryClient(Address address) {
        this.address = address;
    }

    /**
     * Asks for what has changed since the last call and waits some time for it; the list may be
     * empty.
     */
    public EndpointList next() throws IOException, ProtocolException, InterruptedException {
        String query = version < 0 ? "" : "?after=" + version + "&wait_ms=" + WAIT_MS;
        RawResponse answer =
                calls.get(address, Paths.ENDPOINTS + query, CALL_TIMEOUT, MAX_LIST_BYTES);
        if (answer.status() != OK) {
            throw new IOException("discovery answers with status " + answer.status());
        }
        EndpointList list = EndpointList.read(answer.body());
        if (!list.complete() && list.version() < version) {
            version = NO_VERSION;
            throw new ProtocolException(
                    "discovery has begun its versions anew, it is asked for all");
        }
        if (!list.complete() && version < 0) {
            throw new ProtocolException("discovery was asked for all and told of changes only");
        }
        version = list.version();
        return list;
    }
}
