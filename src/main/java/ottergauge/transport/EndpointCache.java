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

/** The list of servers as a process of this node had it last, for the one that comes after. */
final class EndpointCache {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointCache.class);
    private final Path file;
    private final Path part;
    private final int mostBytes;

    /** The list in this folder; one of more bytes is passed over. */
    EndpointCache(Path folder, int mostBytes) {
        this.mostBytes = mostBytes;
        file = folder.resolve("list.json");
        part = folder.resolve("list-" + ProcessHandle.current().pid());
    }

    void keep(EndpointList list) {
        try {
            Files.write(part, list.json());
            Files.move(
                    part,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("the list is not kept: {}", e.toString());
        }
    }

    /** The configuration with the list that was kept, if that is the newer one. */
    NodeConfig freshest(NodeConfig config, boolean accompanied) {
        try {
            if (Files.exists(file) && Files.size(file) <= mostBytes) {
                EndpointList kept = EndpointList.read(Files.readAllBytes(file));
                // Beside a process that lives it is up to date; left by one that has gone it may be
                // older.
                if (accompanied || kept.version() > config.knownEndpoints().version()) {
                    return config.withKnownEndpoints(kept);
                }
            }
        } catch (IOException | ProtocolException e) {
            LOG.warn("the list that was kept is no list: {}", e.toString());
        }
        return config;
    }
}
