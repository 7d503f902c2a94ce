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

/** The responses of the discovery stand-in, by the version that the caller has. */
class VersionedServerListTest {

    private final VersionedServerList list =
            new VersionedServerList(10, List.of(entry("a"), entry("b")));

    private static Entry entry(String host) {
        return new Entry(host, false, "\"" + host + "\"");
    }

    private static Entry removed(String host) {
        return new Entry(host, true, "\"" + host + " gone\"");
    }

    private String body(long after) {
        return new String(list.after(after).body(), StandardCharsets.UTF_8);
    }

    @Test
    void aCallerWithoutAVersionGetsTheFullList() {
        assertEquals("{\"seq\":10,\"whole\":true,\"hosts\":[\"a\",\"b\"]}", body(-1));
        assertEquals(body(-1), body(0));
        assertTrue(list.after(0).full());
    }

    @Test
    void anUpToDateCallerGetsNoEntries() {
        assertEquals("{\"seq\":10,\"whole\":false,\"hosts\":[]}", body(10));
        assertFalse(list.hasChangesAfter(10));
    }

    @Test
    void aCallerThatIsBehindGetsEachServerOnce() {
        assertEquals(11, list.apply(List.of(entry("c"))));
        list.apply(List.of(removed("c")));
        list.apply(List.of(removed("a")));
        assertTrue(list.hasChangesAfter(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"c gone\",\"a gone\"]}", body(10));
        assertEquals("{\"seq\":13,\"whole\":false,\"hosts\":[\"a gone\"]}", body(12));
        assertEquals("{\"seq\":13,\"whole\":true,\"hosts\":[\"b\"]}", body(9));
    }

    /** A restarted discovery process may have an older version than its callers. */
    @Test
    void aCallerThatIsAheadGetsTheFullList() {
        assertTrue(list.hasChangesAfter(11));
        assertTrue(list.after(11).full());
    }

    @Test
    void responsesAreCreatedOnceAndShared() {
        assertSame(list.after(-1), list.after(3));
        list.apply(List.of(entry("c")));
        assertSame(list.after(10), list.after(10));
    }
}
