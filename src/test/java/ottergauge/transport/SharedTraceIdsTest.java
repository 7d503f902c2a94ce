// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the trace ids that the processes of one node share, with two users of one directory. */
@Timeout(60)
class SharedTraceIdsTest {

    private static final long ID = 0x1234_5678_9abc_def0L;

    @TempDir private Path folder;
    private final AtomicLong nanos = new AtomicLong();
    private SharedTraceIds one;
    private SharedTraceIds two;

    @BeforeEach
    void createBoth() throws IOException {
        one = new SharedTraceIds(folder, "1", nanos::get);
        two = new SharedTraceIds(folder, "2", nanos::get);
        one.setOthers(Set.of("2"));
        two.setOthers(Set.of("1"));
    }

    @Test
    void idOfOneProcess_isTakenForTheOther() {
        assertTrue(one.claim(ID));
        assertFalse(two.claim(ID));
        assertTrue(two.claim(ID + 1));
        assertFalse(one.claim(ID + 1));
        one.release(ID);
        assertTrue(two.claim(ID));
    }

    /** Guards against a table that forgets ids when there are many, or never frees a slot. */
    @Test
    void thousandsOfIds_areKeptAndFreed() {
        for (int round = 0; round < 20; round++) {
            for (long id = 1; id <= 5_000; id++) {
                assertTrue(one.claim(id));
            }
            assertFalse(two.claim(1));
            assertFalse(two.claim(5_000));
            for (long id = 1; id <= 5_000; id++) {
                one.release(id);
            }
            assertTrue(two.claim(5_000));
            two.release(5_000);
        }
    }

    /** Guards against a second execution after the first process has ended and left. */
    @Test
    void idsOfAnEndedProcess_areRememberedForTenSeconds() {
        assertTrue(one.claim(ID));
        one.unregister();
        assertFalse(Files.exists(folder.resolve("requests-1")));
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(10));
        two.setOthers(Set.of());
        assertFalse(two.claim(ID));
        nanos.addAndGet(1);
        two.setOthers(Set.of());
        assertTrue(two.claim(ID));
    }

    /** Guards against a process that gets the number of one that has ended. */
    @Test
    void processUnderTheNameOfAnEndedOne_isReadToo() throws IOException {
        assertTrue(one.claim(ID));
        SharedTraceIds next = new SharedTraceIds(folder, "1", nanos::get);
        two.setOthers(Set.of("1"));
        assertTrue(next.claim(ID + 1));
        assertFalse(two.claim(ID + 1));
        assertFalse(two.claim(ID));
    }

    /** A process of an earlier version has no file of ids. */
    @Test
    void processWithoutFile_isIgnored() {
        two.setOthers(Set.of("3"));
        assertTrue(two.claim(ID));
    }

    /** Guards against two processes that both get an id which they claim at the same time. */
    @Test
    void idClaimedAtTheSameTime_isNeverGivenTwice() throws Exception {
        int rounds = 20_000;
        List<AtomicInteger> owners = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            owners.add(new AtomicInteger());
        }
        CountDownLatch ready = new CountDownLatch(2);
        List<Thread> threads = new ArrayList<>();
        for (SharedTraceIds each : List.of(one, two)) {
            Thread thread =
                    new Thread(
                            () -> {
                                ready.countDown();
                                while (ready.getCount() > 0) {
                                    Thread.onSpinWait();
                                }
                                for (int i = 0; i < rounds; i++) {
                                    if (each.claim(i + 1)) {
                                        owners.get(i).incrementAndGet();
                                    }
                                }
                            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(0, owners.stream().filter(owner -> owner.get() > 1).count());
    }
}
