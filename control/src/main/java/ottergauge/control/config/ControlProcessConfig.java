// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.control.log.LogRetention;
import ottergauge.protocol.Address;
import ottergauge.resources.FieldError;
import ottergauge.settings.JsonTree;

/**
 * What a control process is told at its start.
 *
 * @param publishWithinMs how long a submission may wait until it can't be lost any more
 */
public record ControlProcessConfig(
        String name,
        Address listen,
        LogRetention logLimits,
        ServerLimits serverLimits,
        long publishTimeoutMs) {

    private static final int MAX_RETAINED_CHANGES = 1_000_000;
    private static final long MAX_RETAINED_BYTES = 1L << 30;
    private static final int MAX_CONNECTIONS = 65_536;
    private static final long MAX_BYTES_PER_SECOND = 10_000_000_000L;
    private static final long MIN_BYTES_PER_SECOND = 1_024;
    private static final long MIN_DURATION_MS = 100;
    private static final long MAX_DURATION_MS = 3_600_000;
    private static final long DEFAULT_PUBLISH_TIMEOUT_MS = 3_000;

    /** Reads a configuration file's content. */
    public static ControlProcessConfig read(byte[] content) throws ConfigException {
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
        List<FieldError> errors = new ArrayList<>();
        ControlProcessConfig config = of(new ConfigObjectReader(tree, "", errors));
        if (!errors.isEmpty()) {
            throw new ConfigException(errors);
        }
        return config;
    }

    private static ControlProcessConfig of(ConfigObjectReader fields) {
        ControlProcessConfig config =
                new ControlProcessConfig(
                        fields.name("name"),
                        fields.address("listen"),
                        logLimits(fields),
                        serverLimits(fields),
                        fields.whole(
                                "publish_within_ms",
                                MIN_DURATION_MS,
                                MAX_DURATION_MS,
                                DEFAULT_PUBLISH_TIMEOUT_MS));
        fields.rejectUnknownKeys();
        return config;
    }

    private static LogRetention logLimits(ConfigObjectReader fields) {
        LogRetention absent = LogRetention.DEFAULT;
        return new LogRetention(
                (int) fields.whole("kept_changes", 1, MAX_RETAINED_CHANGES, absent.maxChanges()),
                fields.whole("kept_bytes", 1, MAX_RETAINED_BYTES, absent.maxBytes()));
    }

    private static ServerLimits serverLimits(ConfigObjectReader fields) {
        ServerLimits absent = ServerLimits.DEFAULT;
        return new ServerLimits(
                (int) fields.whole("connections", 1, MAX_CONNECTIONS, absent.maxConnections()),
                (int) fields.whole("waiting_polls", 1, MAX_CONNECTIONS, absent.maxPendingPolls()),
                fields.whole(
                        "snapshot_bytes_per_second",
                        MIN_BYTES_PER_SECOND,
                        MAX_BYTES_PER_SECOND,
                        absent.snapshotBytesPerSecond()),
                fields.whole(
                        "slow_reader_ms",
                        MIN_DURATION_MS,
                        MAX_DURATION_MS,
                        absent.slowReaderTimeoutMs()),
                fields.whole("idle_ms", MIN_DURATION_MS, MAX_DURATION_MS, absent.idleTimeoutMs()));
    }
}
