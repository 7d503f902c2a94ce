// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All observations of a scale test, from all of its processes. Times are wall-clock microseconds.
 * This class is thread-safe.
 */
public final class Observations {

    /**
     * The name under which the CPU time of the machine is recorded. {@link #RIG} is the name of the
     * laboratory's own process.
     */
    public static final String MACHINE = "machine";

    public static final String RIG = "rig";

    /** The CPU time that a process has used so far, and its resident bytes. */
    record Usage(long at, long cpuMicros, long residentBytes) {}

    /** The lateness of a laboratory loop in the interval before {@code at}. */
    record Lateness(long at, long samples, long late) {}

    /** The columns of {@link #calls} and {@link #discovery}. */
    static final int AT = 0;

    static final int COUNT = 1;

    private final Map<String, NodeObservations> nodes = new LinkedHashMap<>();
    private final TreeMap<Long, Long> changes = new TreeMap<>();

    /** Calls that hollow nodes made, by kind. */
    private final Map<String, LongTable> calls = new LinkedHashMap<>();

    /** Calls that reached discovery, by how they were handled. */
    private final Map<String, LongTable> discovery = new LinkedHashMap<>();

    private final LongTable fullLists = new LongTable(3);
    private final Map<String, List<Usage>> usages = new LinkedHashMap<>();
    private final Map<String, LongTable> heaps = new LinkedHashMap<>();
    private final Map<String, List<Lateness>> lateness = new LinkedHashMap<>();
    private final Map<String, Long> latenessIgnoredUntil = new LinkedHashMap<>();
    private final Map<String, LongTable> linkBytes = new LinkedHashMap<>();
    private final Map<String, Long> lostLines = new LinkedHashMap<>();
    private final Map<String, Long> omittedEffects = new LinkedHashMap<>();

    private NodeObservations node(String name) {
        return nodes.computeIfAbsent(name, each -> new NodeObservations());
    }

    /** Adds a node to the test, whether or not anything is observed of it. */
    public synchronized void addNode(String node) {
        node(node);
    }

    /** Records when discovery created a version of the list. */
    public synchronized void recordChange(long version, long at) {
        changes.put(version, at);
    }

    public synchronized void recordVersion(String node, long version, long at) {
        node(node).recordVersion(version, at);
    }

    /** Records that these nodes have lost their state. */
    public synchronized void recordRestart(List<String> names) {
        names.forEach(each -> node(each).clearState());
    }

    public synchronized void recordTraffic(String node, long bytesIn, long bytesOut, long at) {
        node(node).recordTraffic(bytesIn, bytesOut, at);
    }

    public synchronized void recordDigest(String node, String digest) {
        node(node).setDigest(digest);
    }

    public synchronized void recordCalls(String kind, long count, long at) {
        calls.computeIfAbsent(kind, each -> new LongTable(2)).add(at, count);
    }

    public synchronized void recordDiscoveryCalls(String kind, long count, long at) {
        discovery.computeIfAbsent(kind, each -> new LongTable(2)).add(at, count);
    }

    public synchronized void recordFullLists(long lists, long bytes, long at) {
        fullLists.add(at, lists, bytes);
    }

    public synchronized void recordUsage(
            String process, long cpuMicros, long residentBytes, long at) {
        usages.computeIfAbsent(process, each -> new ArrayList<>())
                .add(new Usage(at, cpuMicros, residentBytes));
    }

    public synchronized void recordHeap(String process, long bytes, long at) {
        heaps.computeIfAbsent(process, each -> new LongTable(2)).add(at, bytes);
    }

    /**
     * Ignores the lateness that a process reports until this time, because it is suspended on
     * purpose.
     */
    public synchronized void ignoreLateness(String process, long until) {
        latenessIgnoredUntil.put(process, until);
    }

    /**
     * Records how many samples a process has taken and how many of them were late, up to {@code
     * at}.
     */
    public synchronized void recordLateness(String process, long samples, long late, long at) {
        if (at < latenessIgnoredUntil.getOrDefault(process, 0L)) {
            return;
        }
        lateness.computeIfAbsent(process, each -> new ArrayList<>())
                .add(new Lateness(at, samples, late));
    }

    public synchronized void recordLinkBytes(String link, long there, long back, long at) {
        linkBytes.computeIfAbsent(link, each -> new LongTable(3)).add(at, there, back);
    }

    /** Records the total number of lines that are missing from a process's report. */
    public synchronized void recordLostLines(String process, long lines) {
        lostLines.put(process, lines);
    }

    /** Records an effect that a hollow node was asked for and does not implement. */
    public synchronized void recordOmittedEffect(String effect) {
        omittedEffects.merge(effect, 1L, Long::sum);
    }

    /** Returns on how many of these nodes this version or a newer one is in effect now. */
    public synchronized long countReached(List<String> names, long version) {
        return names.stream().filter(each -> node(each).currentVersion() >= version).count();
    }

    /** Returns how many of these nodes have reported a digest since {@link #clearDigests}. */
    public synchronized long countDigests(List<String> names) {
        return names.stream().filter(each -> !node(each).digest().isEmpty()).count();
    }

    public synchronized void clearDigests() {
        nodes.values().forEach(each -> each.setDigest(""));
    }

    /** Returns the newest version that discovery has reported. */
    public synchronized long newestVersion() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    /** Computes the statistics of a phase; no observation is added meanwhile. */
    public synchronized PhaseStatistics statistics(PhaseWindow window) {
        return new PhaseStatisticsCalculator(this, window).compute();
    }

    Map<String, NodeObservations> nodes() {
        return nodes;
    }

    Map<Long, Long> changes(long from, long until) {
        Map<Long, Long> within = new TreeMap<>(changes);
        within.values().removeIf(at -> at < from || at >= until);
        return within;
    }

    Map<String, LongTable> calls() {
        return calls;
    }

    Map<String, LongTable> discovery() {
        return discovery;
    }

    LongTable fullLists() {
        return fullLists;
    }

    Map<String, List<Usage>> usages() {
        return usages;
    }

    Map<String, LongTable> heaps() {
        return heaps;
    }

    Map<String, List<Lateness>> lateness() {
        return lateness;
    }

    Map<String, LongTable> linkBytes() {
        return linkBytes;
    }

    Map<String, Long> lostLines() {
        return lostLines;
    }

    Map<String, Long> omittedEffects() {
        return omittedEffects;
    }
}
