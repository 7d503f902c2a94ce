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
 * The list of servers and its latest changes, each with a version. A response body is created once
 * and shared by all callers that ask for changes since the same version.
 */
final class VersionedServerList {

    /** A server's entry as it is sent. {@code removed} marks the last entry of a server. */
    record Entry(String host, boolean removed, String json) {}

    private record Change(long version, List<Entry> entries) {}

    /** A response: its body, whether the body is the full list, and the number of entries in it. */
    @SuppressWarnings("ArrayRecordComponent") // Encoded once and never compared.
    record ListResponse(byte[] body, boolean full, int entries) {}

    private static final int MAX_CHANGES = 50_000;

    private final Map<String, Entry> entriesByHost = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<Long, ListResponse> responses = new LinkedHashMap<>();
    private long version;

    /** All changes after this version are kept. */
    private long oldestVersion;

    /** Creates a list with a version. Changes up to this version are not available. */
    VersionedServerList(long version, Collection<Entry> entries) {
        this.version = version;
        oldestVersion = version;
        entries.forEach(each -> entriesByHost.put(each.host(), each));
    }

    long version() {
        return version;
    }

    /** Applies a change and returns the new version. */
    long apply(List<Entry> entries) {
        version++;
        for (Entry each : entries) {
            if (each.removed()) {
                entriesByHost.remove(each.host());
            } else {
                entriesByHost.put(each.host(), each);
            }
        }
        changes.add(new Change(version, entries));
        if (changes.size() > MAX_CHANGES) {
            oldestVersion = changes.poll().version();
        }
        responses.clear();
        return version;
    }

    /** Returns whether a caller with this version lacks a change. */
    boolean hasChangesAfter(long after) {
        return after != version;
    }

    /**
     * Returns the response for a caller with this version: the changes since then, or the full list
     * if those changes are not available.
     */
    ListResponse after(long after) {
        long from = after < oldestVersion || after > version ? -1 : after;
        return responses.computeIfAbsent(from, this::createResponse);
    }

    private ListResponse createResponse(long from) {
        Collection<Entry> entries = from < 0 ? entriesByHost.values() : latestEntries(from);
        StringBuilder text =
                new StringBuilder(
                        "{\"seq\":" + version + ",\"whole\":" + (from < 0) + ",\"hosts\":[");
        entries.forEach(
                each ->
                        text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                                .append(each.json()));
        return new ListResponse(
                text.append("]}").toString().getBytes(StandardCharsets.UTF_8),
                from < 0,
                entries.size());
    }

    // Returns the latest entry of each server that has changed after version {@code from}.
    private Collection<Entry> latestEntries(long from) {
        Map<String, Entry> latestEntries = new LinkedHashMap<>();
        for (Change logged : changes) {
            if (logged.version() > from) {
                for (Entry each : logged.entries()) {
                    latestEntries.remove(each.host());
                    latestEntries.put(each.host(), each);
                }
            }
        }
        return latestEntries.values();
    }
}
