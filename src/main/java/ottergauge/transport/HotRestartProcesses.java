// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The processes of this node. Each keeps a file in the hot-restart directory locked while it is
 * alive: the operating system releases the lock when the process ends for any reason, and a file
 * without a lock is a leftover.
 *
 * <p>The file holds a byte, 1 if the process serves clients, and the number of its connections as a
 * big-endian integer. Processes of other versions read and write the same format.
 */
final class HotRestartProcesses {

    private static final Logger LOG = LoggerFactory.getLogger(HotRestartProcesses.class);
    private static final String FILE_PREFIX = "process-";
    private static final String PART_PREFIX = "new-";
    private static final int STATUS_BYTES = 1 + Integer.BYTES;

    /** The other processes that are alive, whether one serves, and the sum of their connections. */
    record OtherProcesses(Set<String> names, boolean serving, int connections) {
        boolean alive() {
            return !names.isEmpty();
        }
    }

    private final Path directory;
    private final Path ownFile;

    /** Open while the process is alive: closing it would release the lock. */
    private FileChannel channel;

    private FileLock lock;

    HotRestartProcesses(Path directory) {
        this.directory = directory;
        ownFile = directory.resolve(FILE_PREFIX + ProcessHandle.current().pid());
    }

    /** Makes this process visible to the others. */
    void register() throws IOException {
        // The file is locked before it gets its name: another process would take an unlocked file
        // for a leftover and delete it.
        Path part = directory.resolve(PART_PREFIX + ProcessHandle.current().pid());
        channel =
                FileChannel.open(
                        part,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        lock = channel.lock();
        Files.move(
                part, ownFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Publishes whether this process serves clients, and its number of connections. */
    void publish(boolean serving, int connections) {
        ByteBuffer status = ByteBuffer.allocate(STATUS_BYTES);
        status.put((byte) (serving ? 1 : 0)).putInt(connections).flip();
        try {
            channel.write(status, 0);
        } catch (IOException e) {
            LOG.warn("this process' status cannot be written for the others: {}", e.toString());
        }
    }

    /**
     * Reads what the node's other processes have published, and deletes the files of processes that
     * have ended.
     */
    OtherProcesses others() {
        Set<String> names = new TreeSet<>();
        boolean serving = false;
        int connections = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, FILE_PREFIX + "*")) {
            for (Path file : files) {
                if (file.getFileName().equals(ownFile.getFileName()) || !isAlive(file)) {
                    continue;
                }
                names.add(nameOf(file));
                ByteBuffer status = ByteBuffer.wrap(Files.readAllBytes(file));
                if (status.remaining() >= STATUS_BYTES) {
                    serving |= status.get() == 1;
                    connections += Math.max(0, status.getInt());
                }
            }
        } catch (IOException e) {
            LOG.warn("the node's other processes cannot be read: {}", e.toString());
        }
        return new OtherProcesses(names, serving, connections);
    }

    /** The name of this process among the node's processes. */
    String ownName() {
        return nameOf(ownFile);
    }

    private static String nameOf(Path file) {
        return file.getFileName().toString().substring(FILE_PREFIX.length());
    }

    private boolean isAlive(Path file) throws IOException {
        try (FileChannel other = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock free = other.tryLock()) {
            if (free == null) {
                return true;
            }
            Files.deleteIfExists(file);
            SharedTraceIds.delete(directory, nameOf(file));
            return false;
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /** Removes this process' file. */
    void unregister() {
        try {
            if (lock != null) {
                Files.deleteIfExists(ownFile);
                channel.close();
            }
        } catch (IOException e) {
            LOG.warn("{} cannot be deleted: {}", ownFile.getFileName(), e.toString());
        }
    }
}
