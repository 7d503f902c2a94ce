// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The servers held out by hand, a file each, in the folder that the node's processes share: each
 * process sees what the other was told, and the next one begins with it. Files are made and deleted
 * whole, so that no process needs to wait for another.
 */
final class MaintenanceStore {

    private static final Logger LOG = LoggerFactory.getLogger(MaintenanceStore.class);
    private static final String MARK = "held-";
    // A name of any server, with the time before it.
    private static final int MOST_BYTES = 64 * 1024;

    private record Held(String server, long since) {}

    private final Path folder;
    private final Map<String, Held> read = new HashMap<>();

    MaintenanceStore(Path folder) {
        this.folder = folder;
    }

    void keep(String server, long since) {
        try {
            Path whole = folder.resolve(name(server));
            Path part = folder.resolve("part-" + ProcessHandle.current().pid());
            Files.write(part, (since + " " + server).getBytes(StandardCharsets.UTF_8));
            Files.move(
                    part,
                    whole,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.error("{} is held out by this process only: {}", server, e.toString());
        }
    }

    void drop(String server) {
        try {
            Files.deleteIfExists(folder.resolve(name(server)));
        } catch (IOException e) {
            LOG.error("{} is still marked as held out: {}", server, e.toString());
        }
    }

    // Names come from outside and are no paths.
    private static String name(String server) {
        return MARK + UUID.nameUUIDFromBytes(server.getBytes(StandardCharsets.UTF_8));
    }

    /** All that are held out, by name and since when. */
    Map<String, Long> read() {
        Map<String, Held> now = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, MARK + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                // One that cannot be read is told of once.
                now.put(name, read.containsKey(name) ? read.get(name) : one(file));
            }
        } catch (IOException e) {
            LOG.error("what is held out cannot be read, it stays as it was: {}", e.toString());
            now = new HashMap<>(read);
        }
        read.clear();
        read.putAll(now);
        Map<String, Long> since = new TreeMap<>();
        now.values().stream()
                .filter(Objects::nonNull)
                .forEach(held -> since.put(held.server(), held.since()));
        return since;
    }

    private static Held one(Path file) {
        try {
            if (Files.size(file) <= MOST_BYTES) {
                String[] parts = Files.readString(file).split(" ", 2);
                return new Held(parts[1], Long.parseLong(parts[0]));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warn("{} does not tell what is held out: {}", file.getFileName(), e.toString());
        }
        return null;
    }
}
