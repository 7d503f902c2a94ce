// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.List;
import ottergauge.routing.Event.ClientRequest;

/** A request that the node has taken, until it is answered and none of its attempts is out. */
final class Exchange {
    final String id;
    final long client;
    final int requestClass;
    final ClientRequest request;
    final long giveUpAt;
    final List<Job> out = new ArrayList<>(1);
    int attempts;
    boolean over;

    Exchange(String id, long client, int requestClass, ClientRequest request, long giveUpAt) {
        this.id = id;
        this.client = client;
        this.requestClass = requestClass;
        this.request = request;
        this.giveUpAt = giveUpAt;
    }
}
