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
 * The configuration of a control process.
 *
 * @param name the process' name in its group
 * @param listen the address of the HTTP server
 * @param retention limits of the changes that are retained for subscribers
 * @param serverLimits limits of the HTTP server
 * @param publishTimeoutMs the maximum time in milliseconds until a submission is committed
 */
public record ControlProcessConfig(
        String name,
        Address listen,
        LogRetention retention,
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

    /**
     * Reads the content of a configuration file.
     *
     * @throws ConfigException with all errors, unknown keys included
     */
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
                        retention(fields),
                        serverLimits(fields),
                        fields.integer(
                                "publish_within_ms",
                                MIN_DURATION_MS,
                                MAX_DURATION_MS,
                                DEFAULT_PUBLISH_TIMEOUT_MS));
        fields.rejectUnknownKeys();
        return config;
    }

    private static LogRetention retention(ConfigObjectReader fields) {
        LogRetention defaults = LogRetention.DEFAULT;
        return new LogRetention(
                (int)
                        fields.integer(
                                "kept_changes", 1, MAX_RETAINED_CHANGES, defaults.maxChanges()),
                fields.integer("kept_bytes", 1, MAX_RETAINED_BYTES, defaults.maxBytes()));
    }

    private static ServerLimits serverLimits(ConfigObjectReader fields) {
        ServerLimits defaults = ServerLimits.DEFAULT;
        return new ServerLimits(
                (int) fields.integer("connections", 1, MAX_CONNECTIONS, defaults.maxConnections()),
                (int)
                        fields.integer(
                                "waiting_polls", 1, MAX_CONNECTIONS, defaults.maxPendingPolls()),
                fields.integer(
                        "snapshot_bytes_per_second",
                        MIN_BYTES_PER_SECOND,
                        MAX_BYTES_PER_SECOND,
                        defaults.snapshotBytesPerSecond()),
                fields.integer(
                        "slow_reader_ms",
                        MIN_DURATION_MS,
                        MAX_DURATION_MS,
                        defaults.slowReaderTimeoutMs()),
                fields.integer(
                        "idle_ms", MIN_DURATION_MS, MAX_DURATION_MS, defaults.idleTimeoutMs()));
    }
}
