// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;

/** Stores the latest endpoint list of a process of this node for the next process. */
final class EndpointCache {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointCache.class);
    private static final String FILE_NAME = "list.json";
    private static final String PART_PREFIX = "list-";

    private final Path file;
    private final Path part;
    private final int maxListBytes;

    /** Creates a cache in a directory; a list larger than {@code maxListBytes} is ignored. */
    EndpointCache(Path directory, int maxListBytes) {
        this.maxListBytes = maxListBytes;
        file = directory.resolve(FILE_NAME);
        part = directory.resolve(PART_PREFIX + ProcessHandle.current().pid());
    }

    /** Replaces the list atomically; a failure is logged and leaves the previous list in place. */
    void write(EndpointList list) {
        try {
            Files.write(part, list.json());
            Files.move(
                    part,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("the endpoint list is not cached: {}", e.toString());
        }
    }

    /**
     * Returns the configuration with the cached list if that is newer than the configuration's own
     * list.
     *
     * @param otherProcessAlive whether another process of this node is alive and keeps the cache up
     *     to date, so that the cached list is used whatever its version
     */
    NodeConfig withCachedList(NodeConfig config, boolean otherProcessAlive) {
        try {
            if (Files.exists(file) && Files.size(file) <= maxListBytes) {
                EndpointList cached = EndpointList.read(Files.readAllBytes(file));
                if (otherProcessAlive || cached.version() > config.knownEndpoints().version()) {
                    return config.withKnownEndpoints(cached);
                }
            }
        } catch (IOException | ProtocolException e) {
            LOG.warn("the cached endpoint list cannot be read: {}", e.toString());
        }
        return config;
    }
}
