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

    private final VersionedServerList log = new VersionedServerList(10, List.of(up("a"), up("b")));

    private static Entry up(String host) {
        return new Entry(host, false, "\"" + host + "\"");
    }

    private static Entry gone(String host) {
        return new Entry(host, true, "\"" + host + " gone\"");
    }

    private String told(long after) {
        return new String(log.after(after).body(), StandardCharsets.UTF_8);
    }

    @Test
    void oneThatHasNothingIsToldTheWholeList() {
        assertEquals("{\"seq\":10,\"whole\":true,\"hosts\":[\"a\",\"b\"]}", told(-1));
        assertEquals(told(-1), told(0));
        assertTrue(log.after(0).whole());
    }

    @Test
    void oneThatIsUpToDateIsToldNothing() {
        assertEquals("{\"seq\":10,\"whole\":false,\"hosts\":[]}", told(10));
        assertFalse(log.hasNews(10));
    }

    @Test
    void oneThatIsBehindIsToldOfEachServerOnce() {
        assertEquals(11, log.change(List.of(up("c"))));
        log.change(List.of(gone("c")));
        log.change(List.of(gone("a")));
        assertTrue(log.hasNews(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"c gone\",\"a gone\"]}", told(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"a gone\"]}", told(12));
        assertEquals("{\"seq\":13,\"whole\":true,\"hosts\":[\"b\"]}", told(9));
    }

    /** A process that was started anew may know less than those that ask it. */
    @Test
    void oneThatIsAheadIsToldTheWholeList() {
        assertTrue(log.hasNews(11));
        assertTrue(log.after(11).whole());
    }

    @Test
    void answersAreMadeOnceForAll() {
        assertSame(log.after(-1), log.after(3));
        log.change(List.of(up("c")));
        assertSame(log.after(10), log.after(10));
    }
}
