// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Subscription;

/** Tests the JSON, order and size of pages of changes and of the state. */
class PageJsonTest extends ChangeLogFixture {

    @Test
    void json_equalsTheCodecsJson() throws ProtocolException {
        accepted(
                SubmissionBuilder.of("a")
                        .service("checkout")
                        .server("s-1", "checkout")
                        .route("r:1", "checkout")
                        .tenant("a/b.c_d", 1.5)
                        .settings("default", 20));
        accepted(SubmissionBuilder.of("b").delete(ResourceKind.SERVER, "s-1").service("checkout"));
        PollResponse response = log.changesAfter(new LogPosition(LOG, 0), EVERYTHING, ALL_BYTES);
        EncodedChanges changes = assertInstanceOf(PollResponse.Changes.class, response).page();
        assertEquals(
                new String(ResourceCodec.write(changes.page()), UTF_8),
                new String(changes.json(), UTF_8));
        assertEquals(changes.page(), ResourceCodec.readChangePage(changes.json()));
        EncodedSnapshot last = log.snapshot(Optional.empty(), EVERYTHING, ALL_BYTES);
        assertEquals(
                new String(ResourceCodec.write(last.page()), UTF_8),
                new String(last.json(), UTF_8));
        EncodedSnapshot first = log.snapshot(Optional.empty(), EVERYTHING, 200);
        assertTrue(first.next().isPresent());
        assertEquals(
                new String(ResourceCodec.write(first.page()), UTF_8),
                new String(first.json(), UTF_8));
        assertEquals(first.page(), ResourceCodec.readSnapshotPage(first.json()));
    }

    @Test
    void estimatedSize_isAnUpperBound() {
        accepted(SubmissionBuilder.of("a").service("checkout").server("s".repeat(128), "checkout"));
        accepted(SubmissionBuilder.of("b").delete(ResourceKind.SERVER, "s".repeat(128)));
        for (StoredChange change : log.capture().changes()) {
            int bytes = new EncodedChanges(log.position(), List.of(change)).json().length;
            int emptyPage = new EncodedChanges(log.position(), List.of()).json().length;
            assertTrue(
                    JsonPageBuilder.sizeOf(change) >= bytes - emptyPage,
                    change.version() + ": " + bytes);
        }
    }

    @Test
    void snapshotPages_areOrderedAndStayWithinMaxBytes() {
        SubmissionBuilder state = SubmissionBuilder.of("a").service("checkout").service("search");
        for (int i = 0; i < 50; i++) {
            state.server("s-" + i, i % 2 == 0 ? "checkout" : "search").tenant("t-" + i, i);
        }
        accepted(state);
        List<ResourceKey> keys = new ArrayList<>();
        Optional<ResourceKey> from = Optional.empty();
        do {
            EncodedSnapshot page =
                    log.snapshot(from, new Subscription(Set.of("search"), "default"), 1_000);
            assertTrue(page.json().length <= 1_000 + 2 * JsonPageBuilder.FRAME_OVERHEAD);
            assertFalse(page.page().resources().isEmpty());
            keys.addAll(page.page().resources().stream().map(Resource::key).toList());
            from = page.next();
        } while (from.isPresent());
        assertEquals(1 + 25 + 50, keys.size());
        assertEquals(keys.stream().sorted().distinct().toList(), keys);
    }
}
