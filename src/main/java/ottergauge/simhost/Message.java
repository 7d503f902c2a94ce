// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import java.util.List;
import java.util.Map;
import ottergauge.decision.api.LoadReport;

/** One message as read from the wire: the union of the fields that any event carries. */
final class Message {
    String name;
    String requestId;
    String requestClass;
    String mode;
    String code;
    String token;
    long server = -1;
    int attempt = -1;
    long key;
    int listNumber = -1;
    int attributes;
    boolean over;
    double giveUpAtMs;
    double elapsedMs;
    long seed;
    LoadReport report = LoadReport.NONE;
    List<Entry> entries;
    Map<String, Object> config;

    /** A line of a server list, with its names not yet resolved against an instance's settings. */
    record Entry(
            long server,
            String zone,
            String kind,
            int cell,
            String state,
            double nominal,
            double sinceMs) {}
}
