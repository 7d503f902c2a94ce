// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ottergauge.lab.scale.statistics.Observations.Lateness;
import ottergauge.lab.scale.statistics.Observations.Usage;
import ottergauge.lab.scale.statistics.PhaseStatistics.FullLists;
import ottergauge.lab.scale.statistics.PhaseStatistics.RigLateness;

/** Computes the statistics of one phase from the observations. */
final class PhaseStatisticsCalculator {

    // The largest fraction of the laboratory's samples that may be late.
    private static final double MAX_LATE_FRACTION = 0.01;
    private static final long PEAK_WINDOW = 100_000;
    private static final long CALL_INTERVAL = 10_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final Observations observations;
    private final PhaseWindow window;

    PhaseStatisticsCalculator(Observations observations, PhaseWindow window) {
        this.observations = observations;
        this.window = window;
    }

    PhaseStatistics compute() {
        Map<Long, Long> changes = observations.changes(window.from(), window.until());
        List<Long> toHollowNodes = new ArrayList<>();
        List<Long> toLastNode = new ArrayList<>();
        long missingChanges = 0;
        for (Map.Entry<Long, Long> change : changes.entrySet()) {
            List<Long> times = propagationTimes(change, window.hollow());
            toHollowNodes.addAll(times);
            missingChanges += window.hollow().size() - times.size();
            if (times.size() == window.hollow().size()) {
                toLastNode.add(times.stream().mapToLong(each -> each).max().orElse(0));
            }
        }
        List<Long> toRealNodes =
                changes.entrySet().stream()
                        .flatMap(change -> propagationTimes(change, window.real()).stream())
                        .toList();
        List<NodeObservations> hollow =
                window.hollow().stream().map(observations.nodes()::get).toList();
        RigLateness lateness = rigLateness();
        return new PhaseStatistics(
                window,
                lateness.lateFraction() > MAX_LATE_FRACTION || lateness.lostLines() > 0,
                lateness,
                changes.size(),
                distribution(toHollowNodes),
                distribution(toLastNode),
                distribution(toRealNodes),
                propagationAfterRestart(),
                missingChanges,
                hollow.stream()
                        .filter(node -> node.currentVersion() < observations.newestVersion())
                        .count(),
                window.digest().isEmpty()
                        ? 0
                        : hollow.stream()
                                .filter(node -> !node.digest().equals(window.digest()))
                                .count(),
                bytesPerNodePerSecond(hollow),
                hollow.stream()
                        .mapToLong(
                                node ->
                                        node.maxBytesInWindow(
                                                window.intervalsFrom(), window.until()))
                        .max()
                        .orElse(0),
                sums(observations.calls()),
                maxInWindow(observations.calls()),
                sums(observations.discovery()),
                maxInWindow(observations.discovery()),
                fullLists(),
                cores(),
                resident(),
                heaps(),
                linkBytes(),
                Map.copyOf(observations.omittedEffects()));
    }

    private static Distribution distribution(List<Long> values) {
        return Distribution.of(values.stream().mapToLong(each -> each).toArray());
    }

    // The time counts from the change, or, for a node that was cut off at that time, from when the
    // node was reachable again.
    private List<Long> propagationTimes(Map.Entry<Long, Long> change, List<String> nodes) {
        List<Long> times = new ArrayList<>();
        for (String name : nodes) {
            long from = Math.max(change.getValue(), window.reachableFrom().getOrDefault(name, 0L));
            long at = observations.nodes().get(name).firstReached(change.getKey(), window.from());
            if (at >= 0) {
                times.add(Math.max(0, at - from));
            }
        }
        return times;
    }

    private Distribution propagationAfterRestart() {
        if (!window.startsWithoutState()) {
            return Distribution.NONE;
        }
        long newest = observations.newestVersion();
        return distribution(
                window.hollow().stream()
                        .map(
                                name ->
                                        observations
                                                .nodes()
                                                .get(name)
                                                .firstReached(newest, window.from()))
                        .filter(at -> at >= 0)
                        .map(at -> at - window.from())
                        .toList());
    }

    private double seconds() {
        return (window.until() - window.from()) / MICROS_PER_SECOND;
    }

    private double bytesPerNodePerSecond(List<NodeObservations> hollow) {
        long bytes =
                hollow.stream()
                        .mapToLong(node -> node.bytes(window.intervalsFrom(), window.until()))
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
                                window.contains(table.get(row, Observations.AT))
                                        ? table.get(row, Observations.COUNT)
                                        : 0;
                    }
                    sums.put(kind, sum);
                });
        return sums;
    }

    // Calls are counted in intervals of 10 ms; an interval that lies only partly in the 100 ms
    // counts in full.
    private long maxInWindow(Map<String, LongTable> tables) {
        TreeMap<Long, Long> counts = new TreeMap<>();
        for (LongTable table : tables.values()) {
            for (int row = 0; row < table.rows(); row++) {
                if (window.contains(table.get(row, Observations.AT))) {
                    counts.merge(
                            table.get(row, Observations.AT),
                            table.get(row, Observations.COUNT),
                            Long::sum);
                }
            }
        }
        return counts.keySet().stream()
                .mapToLong(
                        from ->
                                counts
                                        .subMap(from, from + PEAK_WINDOW + CALL_INTERVAL)
                                        .values()
                                        .stream()
                                        .mapToLong(each -> each)
                                        .sum())
                .max()
                .orElse(0);
    }

    private FullLists fullLists() {
        long lists = 0;
        long bytes = 0;
        LongTable table = observations.fullLists();
        for (int row = 0; row < table.rows(); row++) {
            if (window.contains(table.get(row, Observations.AT))) {
                lists += table.get(row, 1);
                bytes += table.get(row, 2);
            }
        }
        return new FullLists(lists, bytes);
    }

    private Map<String, Double> cores() {
        Map<String, Double> cores = new LinkedHashMap<>();
        observations
                .usages()
                .forEach(
                        (process, usages) -> {
                            List<Usage> part =
                                    usages.stream()
                                            .filter(use -> window.contains(use.at()))
                                            .toList();
                            if (part.size() > 1) {
                                Usage first = part.get(0);
                                Usage last = part.get(part.size() - 1);
                                cores.put(
                                        process,
                                        (double) (last.cpuMicros() - first.cpuMicros())
                                                / (last.at() - first.at()));
                            }
                        });
        return cores;
    }

    private Map<String, Long> resident() {
        return observations.usages().entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                each ->
                                        each.getValue().stream()
                                                .filter(use -> window.contains(use.at()))
                                                .mapToLong(Usage::residentBytes)
                                                .max()
                                                .orElse(0),
                                (one, other) -> one,
                                LinkedHashMap::new));
    }

    private Map<String, Long> heaps() {
        Map<String, Long> heaps = new LinkedHashMap<>();
        observations
                .heaps()
                .forEach(
                        (process, table) -> {
                            for (int row = 0; row < table.rows(); row++) {
                                if (window.contains(table.get(row, Observations.AT))) {
                                    heaps.merge(process, table.get(row, 1), Math::min);
                                }
                            }
                        });
        return heaps;
    }

    private Map<String, Long> linkBytes() {
        Map<String, Long> bytes = new LinkedHashMap<>();
        observations
                .linkBytes()
                .forEach(
                        (link, table) -> {
                            for (int row = 0; row < table.rows(); row++) {
                                if (window.contains(table.get(row, Observations.AT))) {
                                    bytes.merge(
                                            link, table.get(row, 1) + table.get(row, 2), Long::sum);
                                }
                            }
                        });
        return bytes;
    }

    private RigLateness rigLateness() {
        String process = "";
        double fraction = 0;
        for (Map.Entry<String, List<Lateness>> each : observations.lateness().entrySet()) {
            long samples = 0;
            long late = 0;
            for (Lateness measured : each.getValue()) {
                samples += window.contains(measured.at()) ? measured.samples() : 0;
                late += window.contains(measured.at()) ? measured.late() : 0;
            }
            if (samples > 0 && (double) late / samples > fraction) {
                process = each.getKey();
                fraction = (double) late / samples;
            }
        }
        return new RigLateness(
                process,
                fraction,
                observations.lostLines().values().stream().mapToLong(each -> each).sum());
    }
}
