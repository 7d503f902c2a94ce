// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that was seen in a play, by whoever saw it: instants are wall-clock microseconds. Safe to be
 * told from several threads.
 */
public final class Observations {

    /** What the use of the whole machine is noted under, and that of the rig's own process. */
    public static final String MACHINE = "machine";

    public static final String RIG = "rig";

    /** What a process used: its CPU so far, resident bytes, and heap as far as it tells. */
    record Use(long at, long cpuMicros, long residentBytes) {}

    /** How late a loop of the rig came round in the time before an instant. */
    record Lateness(long at, long looks, long late) {}

    /** The columns of {@link #calls} and {@link #discovery}. */
    static final int AT = 0;

    static final int COUNT = 1;

    private final Map<String, NodeObservations> nodes = new LinkedHashMap<>();
    private final TreeMap<Long, Long> changes = new TreeMap<>();

    /** Calls that hollow nodes made, by kind. */
    private final Map<String, LongTable> calls = new LinkedHashMap<>();

    /** Calls that reached discovery, by what became of them. */
    private final Map<String, LongTable> discovery = new LinkedHashMap<>();

    private final LongTable wholeLists = new LongTable(3);
    private final Map<String, List<Use>> uses = new LinkedHashMap<>();
    private final Map<String, LongTable> heaps = new LinkedHashMap<>();
    private final Map<String, List<Lateness>> lateness = new LinkedHashMap<>();
    private final Map<String, Long> excused = new LinkedHashMap<>();
    private final Map<String, LongTable> linkBytes = new LinkedHashMap<>();
    private final Map<String, Long> lost = new LinkedHashMap<>();
    private final Map<String, Long> leftOut = new LinkedHashMap<>();

    private NodeObservations node(String name) {
        return nodes.computeIfAbsent(name, each -> new NodeObservations());
    }

    /** A node is part of the play, whether anything is seen of it or not. */
    public synchronized void expect(String node) {
        node(node);
    }

    /** A version came to be at its source. */
    public synchronized void changed(long version, long at) {
        changes.put(version, at);
    }

    public synchronized void inForce(String node, long version, long at) {
        node(node).inForce(version, at);
    }

    /** These nodes have lost their state. */
    public synchronized void restarted(List<String> names) {
        names.forEach(each -> node(each).restarted());
    }

    public synchronized void traffic(String node, long bytesIn, long bytesOut, long at) {
        node(node).traffic(bytesIn, bytesOut, at);
    }

    public synchronized void digest(String node, String digest) {
        node(node).digest(digest);
    }

    public synchronized void calls(String kind, long count, long at) {
        calls.computeIfAbsent(kind, each -> new LongTable(2)).add(at, count);
    }

    public synchronized void callsAtDiscovery(String kind, long count, long at) {
        discovery.computeIfAbsent(kind, each -> new LongTable(2)).add(at, count);
    }

    public synchronized void wholeLists(long lists, long bytes, long at) {
        wholeLists.add(at, lists, bytes);
    }

    public synchronized void use(String process, long cpuMicros, long residentBytes, long at) {
        uses.computeIfAbsent(process, each -> new ArrayList<>())
                .add(new Use(at, cpuMicros, residentBytes));
    }

    public synchronized void heap(String process, long bytes, long at) {
        heaps.computeIfAbsent(process, each -> new LongTable(2)).add(at, bytes);
    }

    /**
     * A process is stopped on purpose: what it tells of its lateness until then is not the rig's.
     */
    public synchronized void excuse(String process, long until) {
        excused.put(process, until);
    }

    /** Records how many of so many looks of a process came late, by an instant in ms. */
    public synchronized void lateness(String process, long looks, long late, long at) {
        if (at < excused.getOrDefault(process, 0L)) {
            return;
        }
        lateness.computeIfAbsent(process, each -> new ArrayList<>())
                .add(new Lateness(at, looks, late));
    }

    public synchronized void linkBytes(String link, long there, long back, long at) {
        linkBytes.computeIfAbsent(link, each -> new LongTable(3)).add(at, there, back);
    }

    /** So many lines of a process's report are lost, in all. */
    public synchronized void lost(String process, long lines) {
        lost.put(process, lines);
    }

    /** A hollow node was asked for something that it lacks. */
    public synchronized void leftOut(String effect) {
        leftOut.merge(effect, 1L, Long::sum);
    }

    /** How many of these nodes go by a version or a newer one now. */
    public synchronized long reached(List<String> names, long version) {
        return names.stream().filter(each -> node(each).inForce() >= version).count();
    }

    /** How many of these nodes have told a digest since {@link #forgetDigests}. */
    public synchronized long digests(List<String> names) {
        return names.stream().filter(each -> !node(each).digest().isEmpty()).count();
    }

    public synchronized void forgetDigests() {
        nodes.values().forEach(each -> each.digest(""));
    }

    /** The newest version that its source has told. */
    public synchronized long newestVersion() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    /** What is seen in a window, reckoned while nothing is added. */
    public synchronized PhaseStatistics figures(PhaseWindow window) {
        return new PhaseStatisticsCalculator(this, window).reckon();
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

    LongTable wholeLists() {
        return wholeLists;
    }

    Map<String, List<Use>> uses() {
        return uses;
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

    Map<String, Long> lost() {
        return lost;
    }

    Map<String, Long> leftOut() {
        return leftOut;
    }
}
