// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The trace ids of this process' requests, and those of the node's other processes, in memory that
 * they share: each process has a file in the hot-restart directory, writes to its own and reads
 * those of the others.
 *
 * <p>A file holds 64-bit words in the byte order of the machine: the number of slots that have been
 * in use, and then the slots, each with the hash of a trace id or 0. A process first writes an id
 * to its own file and then looks for it in the others. Of two processes that do so at the same
 * time, at least one sees the other's.
 */
final class SharedTraceIds {

    private static final Logger LOG = LoggerFactory.getLogger(SharedTraceIds.class);
    private static final String FILE_PREFIX = "requests-";
    private static final VarHandle WORD =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private static final int SLOTS = 1 << 16;
    private static final int FILE_BYTES = (1 + SLOTS) * Long.BYTES;

    /**
     * How long the ids of a process that has ended are still looked at: servers may still be
     * executing its requests.
     */
    private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The mapped file of another process; it stays readable after it is deleted. */
    private static final class Other {
        final ByteBuffer words;
        long aliveAt;

        Other(ByteBuffer words) {
            this.words = words;
        }
    }

    private final Path directory;
    private final Path ownFile;
    private final ByteBuffer ownWords;
    private final BitSet usedSlots = new BitSet();
    private final Map<Long, Integer> slots = new HashMap<>();

    /** By the identity of the file. */
    private final Map<Object, Other> others = new HashMap<>();

    private final LongSupplier nanos;

    /** Creates the file of this process; {@code nanos} is a monotonic clock in nanoseconds. */
    SharedTraceIds(Path directory, String process, LongSupplier nanos) throws IOException {
        this.directory = directory;
        this.nanos = nanos;
        ownFile = directory.resolve(FILE_PREFIX + process);
        // Another process may still have a leftover of the same name mapped.
        Files.deleteIfExists(ownFile);
        ownWords = map(ownFile, StandardOpenOption.CREATE_NEW);
    }

    private static ByteBuffer map(Path file, StandardOpenOption creation) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file, creation, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(MapMode.READ_WRITE, 0, FILE_BYTES);
        }
    }

    /** Sets which other processes are alive. */
    void setOthers(Set<String> processes) {
        for (String process : processes) {
            Path file = directory.resolve(FILE_PREFIX + process);
            try {
                // A process of an earlier version has no such file.
                if (Files.exists(file)) {
                    recordAlive(file);
                }
            } catch (IOException e) {
                LOG.warn("{} cannot be read: {}", file.getFileName(), e.toString());
            }
        }
        long oldest = nanos.getAsLong() - REMEMBERED_NANOS;
        others.values().removeIf(other -> other.aliveAt < oldest);
    }

    // A process may get the name of one that has ended. Its file is another one.
    private void recordAlive(Path file) throws IOException {
        Object fileKey = Files.readAttributes(file, BasicFileAttributes.class).fileKey();
        Other other = others.get(fileKey);
        if (other == null) {
            other = new Other(map(file, StandardOpenOption.WRITE));
            others.put(fileKey, other);
        }
        other.aliveAt = nanos.getAsLong();
    }

    /**
     * Makes a trace id known to the other processes, unless one of them has it.
     *
     * @return false if another process has it, or if there is no slot left
     */
    boolean claim(long hash) {
        int slot = usedSlots.nextClearBit(0);
        if (slot >= SLOTS) {
            return false;
        }
        usedSlots.set(slot);
        slots.put(hash, slot);
        WORD.setVolatile(ownWords, offset(slot), hash);
        if (slot >= slotsInUse(ownWords)) {
            WORD.setVolatile(ownWords, 0, (long) slot + 1);
        }
        VarHandle.fullFence();
        for (Other other : others.values()) {
            if (contains(other.words, hash)) {
                release(hash);
                return false;
            }
        }
        return true;
    }

    /** Withdraws a trace id that was made known. */
    void release(long hash) {
        Integer slot = slots.remove(hash);
        if (slot != null) {
            WORD.setVolatile(ownWords, offset(slot), 0L);
            usedSlots.clear(slot);
        }
    }

    private static boolean contains(ByteBuffer words, long hash) {
        long end = Math.min(SLOTS, slotsInUse(words));
        for (int slot = 0; slot < end; slot++) {
            if ((long) WORD.getVolatile(words, offset(slot)) == hash) {
                return true;
            }
        }
        return false;
    }

    private static long slotsInUse(ByteBuffer words) {
        return (long) WORD.getVolatile(words, 0);
    }

    private static int offset(int slot) {
        return (1 + slot) * Long.BYTES;
    }

    /** Removes the file of a process that has ended. */
    static void delete(Path directory, String process) throws IOException {
        Files.deleteIfExists(directory.resolve(FILE_PREFIX + process));
    }

    /** Removes this process' file. */
    void unregister() {
        try {
            Files.deleteIfExists(ownFile);
        } catch (IOException e) {
            LOG.warn("{} cannot be deleted: {}", ownFile.getFileName(), e.toString());
        }
    }
}
