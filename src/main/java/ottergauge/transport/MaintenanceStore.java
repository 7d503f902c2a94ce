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
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the servers that an operator has put into maintenance, each as a mark file in the
 * hot-restart directory. Every process of the node reads the marks of the others, and the next
 * process starts with them. Files are created and deleted atomically, so that no process waits for
 * another.
 *
 * <p>The name of a mark file is {@code held-} and a UUID of the server's name. Its content is the
 * time in microseconds, a space and the server's name. Processes of other versions read and write
 * the same format.
 */
final class MaintenanceStore {

    private static final Logger LOG = LoggerFactory.getLogger(MaintenanceStore.class);
    private static final String MARK_PREFIX = "held-";
    private static final String PART_PREFIX = "part-";
    private static final int MAX_MARK_BYTES = 64 * 1024;

    private record Mark(String server, long since) {}

    private final Path directory;

    /** The marks by file name, as last read; empty for a file that cannot be read. */
    private final Map<String, Optional<Mark>> marks = new HashMap<>();

    /**
     * The start of the maintenance, by server, where its mark could not be written. This process
     * must not take the missing mark for another process' end of the maintenance.
     */
    private final Map<String, Long> unstored = new HashMap<>();

    MaintenanceStore(Path directory) {
        this.directory = directory;
    }

    /** Marks a server as in maintenance since a time in microseconds. */
    void mark(String server, long since) {
        try {
            Path part = directory.resolve(PART_PREFIX + ProcessHandle.current().pid());
            Files.write(part, (since + " " + server).getBytes(StandardCharsets.UTF_8));
            Files.move(
                    part,
                    directory.resolve(fileName(server)),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            unstored.remove(server);
        } catch (IOException e) {
            unstored.put(server, since);
            LOG.error("{} is in maintenance at this process only: {}", server, e.toString());
        }
    }

    /** Removes a server's mark. */
    void unmark(String server) {
        unstored.remove(server);
        try {
            Files.deleteIfExists(directory.resolve(fileName(server)));
        } catch (IOException e) {
            LOG.error("{} is still marked as in maintenance: {}", server, e.toString());
        }
    }

    // A server's name is external input and may not be usable as a file name.
    private static String fileName(String server) {
        return MARK_PREFIX + UUID.nameUUIDFromBytes(server.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads all marks, and adds those that this process could not write.
     *
     * @return for each server in maintenance, the time at which it was marked, in microseconds
     */
    Map<String, Long> read() {
        Map<String, Optional<Mark>> current = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, MARK_PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                // Each file is read only once: otherwise an unreadable one would be logged at each
                // call.
                Optional<Mark> known = marks.get(name);
                current.put(name, known == null ? readMark(file) : known);
            }
        } catch (IOException e) {
            LOG.error("maintenance marks cannot be read, they stay as they were: {}", e.toString());
            current = new HashMap<>(marks);
        }
        marks.clear();
        marks.putAll(current);
        Map<String, Long> since = new TreeMap<>(unstored);
        for (Optional<Mark> mark : marks.values()) {
            mark.ifPresent(each -> since.put(each.server(), each.since()));
        }
        return since;
    }

    private static Optional<Mark> readMark(Path file) {
        try {
            if (Files.size(file) <= MAX_MARK_BYTES) {
                String[] parts = Files.readString(file).split(" ", 2);
                return Optional.of(new Mark(parts[1], Long.parseLong(parts[0])));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warn(
                    "{} is not a maintenance mark and is ignored: {}",
                    file.getFileName(),
                    e.toString());
        }
        return Optional.empty();
    }
}
