// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.control.log.LogLimits;
import ottergauge.protocol.Address;
import ottergauge.resources.FieldError;
import ottergauge.settings.JsonTree;

/**
 * What a control process is told at its start.
 *
 * @param publishWithinMs how long a submission may wait until it can't be lost any more
 */
public record ControlConfig(
        String name,
        Address listen,
        LogLimits logLimits,
        ServerLimits serverLimits,
        long publishWithinMs) {

    private static final int MOST_KEPT_CHANGES = 1_000_000;
    private static final long MOST_KEPT_BYTES = 1L << 30;
    private static final int MOST_CONNECTIONS = 65_536;
    private static final long MOST_BYTES_PER_SECOND = 10_000_000_000L;
    private static final long LEAST_BYTES_PER_SECOND = 1_024;
    private static final long LEAST_SPAN_MS = 100;
    private static final long MOST_SPAN_MS = 3_600_000;
    private static final long DEFAULT_PUBLISH_WITHIN_MS = 3_000;

    /** Reads a configuration file's content. */
    public static ControlConfig read(byte[] content) throws ConfigException {
        Map<String, Object> tree;
        try {
            tree = JsonTree.read(content);
        } catch (IOException e) {
            throw new ConfigException(
                    List.of(
                            new FieldError(
                                    "the file",
                                    String.valueOf(e.getMessage()),
                                    "one JSON object")));
        }
        List<FieldError> faults = new ArrayList<>();
        ControlConfig config = of(new ConfigFields(tree, "", faults));
        if (!faults.isEmpty()) {
            throw new ConfigException(faults);
        }
        return config;
    }

    private static ControlConfig of(ConfigFields fields) {
        ControlConfig config =
                new ControlConfig(
                        fields.name("name"),
                        fields.address("listen"),
                        logLimits(fields),
                        serverLimits(fields),
                        fields.whole(
                                "publish_within_ms",
                                LEAST_SPAN_MS,
                                MOST_SPAN_MS,
                                DEFAULT_PUBLISH_WITHIN_MS));
        fields.refuseOthers();
        return config;
    }

    private static LogLimits logLimits(ConfigFields fields) {
        LogLimits absent = LogLimits.DEFAULT;
        return new LogLimits(
                (int) fields.whole("kept_changes", 1, MOST_KEPT_CHANGES, absent.mostChanges()),
                fields.whole("kept_bytes", 1, MOST_KEPT_BYTES, absent.mostBytes()));
    }

    private static ServerLimits serverLimits(ConfigFields fields) {
        ServerLimits absent = ServerLimits.DEFAULT;
        return new ServerLimits(
                (int) fields.whole("connections", 1, MOST_CONNECTIONS, absent.connections()),
                (int) fields.whole("waiting_polls", 1, MOST_CONNECTIONS, absent.waitingPolls()),
                fields.whole(
                        "snapshot_bytes_per_second",
                        LEAST_BYTES_PER_SECOND,
                        MOST_BYTES_PER_SECOND,
                        absent.snapshotBytesPerSecond()),
                fields.whole("slow_reader_ms", LEAST_SPAN_MS, MOST_SPAN_MS, absent.slowReaderMs()),
                fields.whole("idle_ms", LEAST_SPAN_MS, MOST_SPAN_MS, absent.idleMs()));
    }
}
