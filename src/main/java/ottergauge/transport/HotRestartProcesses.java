// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The processes of this node. Each has a file in the folder that they share and keeps it locked
 * while it lives: the lock goes with the process, however that ends, and a file without one is a
 * leftover.
 */
final class HotRestartProcesses {

    private static final Logger LOG = LoggerFactory.getLogger(HotRestartProcesses.class);
    private static final String MARK = "process-";
    // A byte that says whether the process takes clients, and the number of its connections.
    private static final int TOLD = 5;

    /**
     * Whether another process lives and takes clients, and how many connections others have open.
     */
    record Company(boolean lives, boolean serves, int connections) {}

    private final Path folder;
    private final Path own;

    /** Open for as long as the process lives: closed, it would give up the lock. */
    private FileChannel file;

    private FileLock lock;

    HotRestartProcesses(Path folder) {
        this.folder = folder;
        own = folder.resolve(MARK + ProcessHandle.current().pid());
    }

    /** From now on others see that this process lives. */
    void appear() throws IOException {
        // Locked before it has its name: seen without its lock, it would be taken for a leftover.
        Path part = folder.resolve("new-" + ProcessHandle.current().pid());
        file =
                FileChannel.open(
                        part,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        lock = file.lock();
        Files.move(part, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Tells others whether this process takes clients by now, and how many connections it has open.
     */
    void tell(boolean serves, int connections) {
        try {
            file.write(
                    ByteBuffer.allocate(TOLD)
                            .put((byte) (serves ? 1 : 0))
                            .putInt(connections)
                            .flip(),
                    0);
        } catch (IOException e) {
            LOG.warn("the node's other processes are not told of this one: {}", e.toString());
        }
    }

    /** What the node's other processes have told. */
    Company look() {
        boolean any = false;
        boolean serves = false;
        int connections = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, MARK + "*")) {
            for (Path each : files) {
                if (!each.getFileName().equals(own.getFileName()) && lives(each)) {
                    any = true;
                    ByteBuffer told = ByteBuffer.wrap(Files.readAllBytes(each));
                    if (told.remaining() >= TOLD) {
                        serves |= told.get() == 1;
                        connections += Math.max(0, told.getInt());
                    }
                }
            }
        } catch (IOException e) {
            LOG.warn("the node's other processes cannot be seen: {}", e.toString());
        }
        return new Company(any, serves, connections);
    }

    private static boolean lives(Path each) throws IOException {
        try (FileChannel other = FileChannel.open(each, StandardOpenOption.WRITE);
                FileLock free = other.tryLock()) {
            if (free == null) {
                return true;
            }
            Files.deleteIfExists(each);
            return false;
        } catch (java.nio.file.NoSuchFileException e) {
            return false;
        }
    }

    /** Leaves nothing behind. */
    void vanish() {
        try {
            if (lock != null) {
                Files.deleteIfExists(own);
                file.close();
            }
        } catch (IOException e) {
            LOG.warn("{} stays behind: {}", own.getFileName(), e.toString());
        }
    }
}
