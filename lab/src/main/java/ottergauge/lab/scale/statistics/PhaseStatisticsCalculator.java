// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ottergauge.lab.scale.statistics.Observations.Lateness;
import ottergauge.lab.scale.statistics.Observations.Use;
import ottergauge.lab.scale.statistics.PhaseStatistics.Latest;
import ottergauge.lab.scale.statistics.PhaseStatistics.WholeLists;

/** Reckons the figures of one phase from what was seen. */
final class PhaseStatisticsCalculator {

    // As much of the rig's looks may be late.
    private static final double LATE_PART = 0.01;
    private static final long WORST = 100_000;
    private static final long CALLS_SPAN = 10_000;
    private static final double MICROS_A_SECOND = 1e6;

    private final Observations seen;
    private final PhaseWindow window;

    PhaseStatisticsCalculator(Observations seen, PhaseWindow window) {
        this.seen = seen;
        this.window = window;
    }

    PhaseStatistics reckon() {
        Map<Long, Long> changes = seen.changes(window.from(), window.until());
        List<Long> inForce = new ArrayList<>();
        List<Long> atLast = new ArrayList<>();
        long missing = 0;
        for (Map.Entry<Long, Long> change : changes.entrySet()) {
            List<Long> spans = spans(change, window.hollow());
            inForce.addAll(spans);
            missing += window.hollow().size() - spans.size();
            if (spans.size() == window.hollow().size()) {
                atLast.add(spans.stream().mapToLong(each -> each).max().orElse(0));
            }
        }
        List<Long> atReal =
                changes.entrySet().stream()
                        .flatMap(change -> spans(change, window.real()).stream())
                        .toList();
        List<NodeObservations> hollow = window.hollow().stream().map(seen.nodes()::get).toList();
        Latest latest = latest();
        return new PhaseStatistics(
                window,
                latest.part() > LATE_PART || latest.lost() > 0,
                latest,
                changes.size(),
                spread(inForce),
                spread(atLast),
                spread(atReal),
                afterRestart(),
                missing,
                hollow.stream().filter(node -> node.inForce() < seen.newestVersion()).count(),
                window.digest().isEmpty()
                        ? 0
                        : hollow.stream()
                                .filter(node -> !node.digest().equals(window.digest()))
                                .count(),
                bytesANode(hollow),
                hollow.stream()
                        .mapToLong(
                                node -> node.mostBytesInWindow(window.spansFrom(), window.until()))
                        .max()
                        .orElse(0),
                sums(seen.calls()),
                most(seen.calls()),
                sums(seen.discovery()),
                most(seen.discovery()),
                wholeLists(),
                cores(),
                resident(),
                heaps(),
                linkBytes(),
                Map.copyOf(seen.leftOut()));
    }

    private static Distribution spread(List<Long> values) {
        return Distribution.of(values.stream().mapToLong(each -> each).toArray());
    }

    // From when a node could be told: for one that was cut off from when it no longer was.
    private List<Long> spans(Map.Entry<Long, Long> change, List<String> nodes) {
        List<Long> spans = new ArrayList<>();
        for (String name : nodes) {
            long from = Math.max(change.getValue(), window.excusedUntil().getOrDefault(name, 0L));
            long at = seen.nodes().get(name).reached(change.getKey(), window.from());
            if (at >= 0) {
                spans.add(Math.max(0, at - from));
            }
        }
        return spans;
    }

    private Distribution afterRestart() {
        if (!window.beginsAnew()) {
            return Distribution.NONE;
        }
        long newest = seen.newestVersion();
        return spread(
                window.hollow().stream()
                        .map(name -> seen.nodes().get(name).reached(newest, window.from()))
                        .filter(at -> at >= 0)
                        .map(at -> at - window.from())
                        .toList());
    }

    private double seconds() {
        return (window.until() - window.from()) / MICROS_A_SECOND;
    }

    private double bytesANode(List<NodeObservations> hollow) {
        long bytes =
                hollow.stream()
                        .mapToLong(node -> node.bytes(window.spansFrom(), window.until()))
                        .sum();
        return bytes / seconds() / Math.max(1, hollow.size());
    }

    private Map<String, Long> sums(Map<String, LongTable> tables) {
        Map<String, Long> sums = new TreeMap<>();
        tables.forEach(
                (kind, table) -> {
                    long sum = 0;
                    for (int row = 0; row < table.rows(); row++) {
                        sum +=
                                window.holds(table.get(row, Observations.AT))
                                        ? table.get(row, Observations.COUNT)
                                        : 0;
                    }
                    sums.put(kind, sum);
                });
        return sums;
    }

    // Known by hundredths of a second; one that lies only partly in the 100 ms counts whole.
    private long most(Map<String, LongTable> tables) {
        TreeMap<Long, Long> spans = new TreeMap<>();
        for (LongTable table : tables.values()) {
            for (int row = 0; row < table.rows(); row++) {
                if (window.holds(table.get(row, Observations.AT))) {
                    spans.merge(
                            table.get(row, Observations.AT),
                            table.get(row, Observations.COUNT),
                            Long::sum);
                }
            }
        }
        return spans.keySet().stream()
                .mapToLong(
                        from ->
                                spans.subMap(from, from + WORST + CALLS_SPAN).values().stream()
                                        .mapToLong(each -> each)
                                        .sum())
                .max()
                .orElse(0);
    }

    private WholeLists wholeLists() {
        long lists = 0;
        long bytes = 0;
        LongTable table = seen.wholeLists();
        for (int row = 0; row < table.rows(); row++) {
            if (window.holds(table.get(row, Observations.AT))) {
                lists += table.get(row, 1);
                bytes += table.get(row, 2);
            }
        }
        return new WholeLists(lists, bytes);
    }

    private Map<String, Double> cores() {
        Map<String, Double> cores = new LinkedHashMap<>();
        seen.uses()
                .forEach(
                        (process, uses) -> {
                            List<Use> part =
                                    uses.stream().filter(use -> window.holds(use.at())).toList();
                            if (part.size() > 1) {
                                Use first = part.get(0);
                                Use last = part.get(part.size() - 1);
                                cores.put(
                                        process,
                                        (double) (last.cpuMicros() - first.cpuMicros())
                                                / (last.at() - first.at()));
                            }
                        });
        return cores;
    }

    private Map<String, Long> resident() {
        return seen.uses().entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                each ->
                                        each.getValue().stream()
                                                .filter(use -> window.holds(use.at()))
                                                .mapToLong(Use::residentBytes)
                                                .max()
                                                .orElse(0),
                                (one, other) -> one,
                                LinkedHashMap::new));
    }

    private Map<String, Long> heaps() {
        Map<String, Long> heaps = new LinkedHashMap<>();
        seen.heaps()
                .forEach(
                        (process, table) -> {
                            for (int row = 0; row < table.rows(); row++) {
                                if (window.holds(table.get(row, Observations.AT))) {
                                    heaps.merge(process, table.get(row, 1), Math::min);
                                }
                            }
                        });
        return heaps;
    }

    private Map<String, Long> linkBytes() {
        Map<String, Long> bytes = new LinkedHashMap<>();
        seen.linkBytes()
                .forEach(
                        (link, table) -> {
                            for (int row = 0; row < table.rows(); row++) {
                                if (window.holds(table.get(row, Observations.AT))) {
                                    bytes.merge(
                                            link, table.get(row, 1) + table.get(row, 2), Long::sum);
                                }
                            }
                        });
        return bytes;
    }

    private Latest latest() {
        String latest = "";
        double part = 0;
        for (Map.Entry<String, List<Lateness>> each : seen.lateness().entrySet()) {
            long looks = 0;
            long late = 0;
            for (Lateness told : each.getValue()) {
                looks += window.holds(told.at()) ? told.looks() : 0;
                late += window.holds(told.at()) ? told.late() : 0;
            }
            if (looks > 0 && (double) late / looks > part) {
                latest = each.getKey();
                part = (double) late / looks;
            }
        }
        return new Latest(
                latest, part, seen.lost().values().stream().mapToLong(each -> each).sum());
    }
}
