// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list of servers and its newest changes, by versions. Bodies of answers are made once for all
 * callers that ask from the same version.
 */
final class VersionedServerList {

    /** A server's entry as it is told; {@code gone} says that this is its last one. */
    record Entry(String host, boolean gone, String json) {}

    private record Change(long version, List<Entry> entries) {}

    /** An answer: its body, and whether that is the whole list. */
    @SuppressWarnings("ArrayRecordComponent") // Encoded once and never compared.
    record Answer(byte[] body, boolean whole, int entries) {}

    private static final int MOST_CHANGES = 50_000;

    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Answer> answers = new LinkedHashMap<>();
    private long version;

    /** The oldest version from which the changes are known. */
    private long oldest;

    /** Begins with a list; what came before it is not known. */
    VersionedServerList(long version, Collection<Entry> entries) {
        this.version = version;
        oldest = version;
        entries.forEach(each -> listed.put(each.host(), each));
    }

    long version() {
        return version;
    }

    /** Takes a change, and gives back its version. */
    long change(List<Entry> entries) {
        version++;
        for (Entry each : entries) {
            if (each.gone()) {
                listed.remove(each.host());
            } else {
                listed.put(each.host(), each);
            }
        }
        changes.add(new Change(version, entries));
        if (changes.size() > MOST_CHANGES) {
            oldest = changes.poll().version();
        }
        answers.clear();
        return version;
    }

    /** Whether there is anything to be told to one that has this version. */
    boolean hasNews(long after) {
        return after != version;
    }

    /**
     * What one that has this version is told: changes, or the whole list if they are not known from
     * it.
     */
    Answer after(long after) {
        long from = after < oldest || after > version ? -1 : after;
        return answers.computeIfAbsent(from, this::make);
    }

    private Answer make(long from) {
        Collection<Entry> entries = from < 0 ? listed.values() : newest(from);
        StringBuilder text =
                new StringBuilder(
                        "{\"seq\":" + version + ",\"whole\":" + (from < 0) + ",\"hosts\":[");
        entries.forEach(
                each ->
                        text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                                .append(each.json()));
        return new Answer(
                text.append("]}").toString().getBytes(StandardCharsets.UTF_8),
                from < 0,
                entries.size());
    }

    // Of each server only the last that is known.
    private Collection<Entry> newest(long from) {
        Map<String, Entry> newest = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.version() > from) {
                for (Entry each : change.entries()) {
                    newest.remove(each.host());
                    newest.put(each.host(), each);
                }
            }
        }
        return newest.values();
    }
}
