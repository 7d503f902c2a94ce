// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.lab.scale.discovery.VersionedServerList.Entry;

/** What the stand-in tells of its list, by the version that is asked from. */
class VersionedServerListTest {

    private final VersionedServerList log =
            new VersionedServerList(10, List.of(entry("a"), entry("b")));

    private static Entry entry(String host) {
        return new Entry(host, false, "\"" + host + "\"");
    }

    private static Entry removed(String host) {
        return new Entry(host, true, "\"" + host + " gone\"");
    }

    private String body(long after) {
        return new String(log.after(after).body(), StandardCharsets.UTF_8);
    }

    @Test
    void oneThatHasNothingIsToldTheWholeList() {
        assertEquals("{\"seq\":10,\"whole\":true,\"hosts\":[\"a\",\"b\"]}", body(-1));
        assertEquals(body(-1), body(0));
        assertTrue(log.after(0).full());
    }

    @Test
    void oneThatIsUpToDateIsToldNothing() {
        assertEquals("{\"seq\":10,\"whole\":false,\"hosts\":[]}", body(10));
        assertFalse(log.hasChangesAfter(10));
    }

    @Test
    void oneThatIsBehindIsToldOfEachServerOnce() {
        assertEquals(11, log.apply(List.of(entry("c"))));
        log.apply(List.of(removed("c")));
        log.apply(List.of(removed("a")));
        assertTrue(log.hasChangesAfter(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"c gone\",\"a gone\"]}", body(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"a gone\"]}", body(12));
        assertEquals("{\"seq\":13,\"whole\":true,\"hosts\":[\"b\"]}", body(9));
    }

    /** A process that was started anew may know less than those that ask it. */
    @Test
    void oneThatIsAheadIsToldTheWholeList() {
        assertTrue(log.hasChangesAfter(11));
        assertTrue(log.after(11).full());
    }

    @Test
    void answersAreMadeOnceForAll() {
        assertSame(log.after(-1), log.after(3));
        log.apply(List.of(entry("c")));
        assertSame(log.after(10), log.after(10));
    }
}
