// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import ottergauge.capacity.node.NodeMeasurement;
import ottergauge.capacity.node.NodeResults;
import ottergauge.capacity.node.NodeResults.Applied;
import ottergauge.capacity.node.NodeResults.LoadSlice;
import ottergauge.capacity.node.NodeResults.NotApplied;
import ottergauge.capacity.node.NodeResults.Start;
import ottergauge.capacity.report.Cell;
import ottergauge.capacity.report.Row;
import ottergauge.capacity.report.Section;
import ottergauge.capacity.report.Spread;
import ottergauge.capacity.workload.NodeConfiguration;

/** The tables with the measurements of node processes. */
final class NodeSections {

    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final NodeMeasurement measurement;
    private final NodeMeasurement.RunSettings runSettings;
    private final List<Integer> sizes;

    NodeSections(
            NodeMeasurement measurement,
            NodeMeasurement.RunSettings runSettings,
            List<Integer> sizes) {
        this.measurement = measurement;
        this.runSettings = runSettings;
        this.sizes = sizes;
    }

    /** Measures all sizes. The cells of a size that failed hold the reason. */
    List<Section> measure() throws InterruptedException {
        SortedMap<Integer, NodeResults> measured = new TreeMap<>();
        SortedMap<Integer, String> failed = new TreeMap<>();
        for (int servers : sizes) {
            try {
                measured.put(servers, measurement.measure(servers));
            } catch (IOException e) {
                failed.put(servers, e.getMessage().lines().findFirst().orElse("no reason"));
            }
        }
        Rows rows = new Rows(measured, failed);
        return List.of(
                section("The process: start, memory, discovery", startNotes(), starts(rows)),
                section("The process: requests", loadNotes(), load(rows)));
    }

    private Section section(String title, List<String> notes, List<Row> rows) {
        return new Section(
                title, notes, ReducerSections.SERVERS, sizes, sizes.get(sizes.size() - 1), rows);
    }

    private List<String> startNotes() {
        return List.of(
                "Started by the `run` line as one of "
                        + NodeConfiguration.NODES
                        + " nodes, "
                        + runSettings.starts()
                        + " times; idle is "
                        + runSettings.settleMs() / MILLIS_PER_SECOND
                        + " s after it was ready.",
                "Bytes and calls are those that discovery's stand-in saw on its sockets, heads"
                        + " included.",
                "CPU at rest is of "
                        + runSettings.idleSeconds()
                        + " s, at changes of "
                        + runSettings.changeSlices()
                        + " times "
                        + runSettings.changeSliceSeconds()
                        + " s. The system tells CPU in steps of 10 ms.");
    }

    private List<String> loadNotes() {
        return List.of(
                "Open loop at "
                        + NodeMeasurement.REQUESTS_PER_SECOND
                        + " a second, Poisson, after "
                        + runSettings.warmUpRequests()
                        + " requests, "
                        + runSettings.loadSlices()
                        + " times "
                        + runSettings.loadSliceSeconds()
                        + " s.",
                "Latency counts from the intended instant. The same stand-in for a server, which"
                        + " answers at",
                "once, gets as many requests past the node meanwhile. Added is the difference of"
                        + " the two",
                "percentiles of a time slice (HdrHistogram, three digits). CPU at rest is taken off"
                        + " that of",
                "requests. Where the measuring process itself sends late, latencies say little.");
    }

    private static List<Row> starts(Rows rows) {
        List<Row> list = new ArrayList<>();
        list.add(
                rows.of(
                        "exec to ready, list from the configuration",
                        "ms",
                        each -> starts(each, Start::readyMs)));
        list.add(rows.of("CPU from exec to ready", "ms", each -> starts(each, Start::cpuMs)));
        list.add(
                rows.of(
                        "resident, idle, list from the configuration",
                        "MB",
                        each -> starts(each, start -> start.residentBytes() / BYTES_PER_MEGABYTE)));
        list.add(
                rows.of(
                        "exec to the list taken from discovery",
                        "ms",
                        each -> discoveryStart(each, Applied::afterMs)));
        list.add(
                rows.of(
                        "resident, idle, list from discovery",
                        "MB",
                        each ->
                                discoveryStart(
                                        each,
                                        applied -> applied.residentBytes() / BYTES_PER_MEGABYTE)));
        list.add(
                rows.of(
                        "most resident, all over",
                        "MB",
                        each -> single(each.peakResidentBytes() / BYTES_PER_MEGABYTE)));
        list.add(rows.of("CPU at rest", "part of a core", each -> single(each.idle().cpu())));
        list.add(
                rows.of(
                        "calls to discovery at rest",
                        "1/s",
                        each -> single(each.idle().callsPerSecond())));
        list.add(
                rows.of(
                        "bytes at discovery at rest",
                        "B/s",
                        each -> single(each.idle().bytesPerSecond())));
        list.add(
                rows.of(
                        "CPU at " + NodeMeasurement.CHANGES_PER_SECOND + " changes a second",
                        "part of a core",
                        each -> changes(each, new Cell.Measured(Spread.of(each.changes().cpu())))));
        list.add(
                rows.of(
                        "bytes at discovery for a change",
                        "B",
                        each -> changes(each, single(each.changes().bytesPerChange()))));
        list.add(
                rows.of(
                        "calls to discovery for a change",
                        "1",
                        each -> changes(each, single(each.changes().callsPerChange()))));
        return list;
    }

    private static List<Row> load(Rows rows) {
        List<Row> list = new ArrayList<>();
        list.add(
                rows.of(
                        "CPU of a request",
                        "ms",
                        each -> slices(each, LoadSlice::cpuMsPerRequest)));
        list.add(
                rows.of(
                        "through the node, 50th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::viaNodeP50Ms)));
        list.add(
                rows.of(
                        "through the node, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::viaNodeP99Ms)));
        list.add(
                rows.of(
                        "past the node, 50th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::directP50Ms)));
        list.add(
                rows.of(
                        "past the node, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::directP99Ms)));
        list.add(
                rows.of(
                        "added, 50th percentile",
                        "ms",
                        each -> slices(each, slice -> slice.viaNodeP50Ms() - slice.directP50Ms())));
        list.add(
                rows.of(
                        "added, 99th percentile",
                        "ms",
                        each -> slices(each, slice -> slice.viaNodeP99Ms() - slice.directP99Ms())));
        list.add(
                rows.of(
                        "sent late by the measuring process, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::sendDelayP99Ms)));
        list.add(
                rows.of(
                        "requests through the node in a time slice",
                        "1",
                        each -> slices(each, LoadSlice::served)));
        list.add(
                rows.of(
                        "requests that were not answered 200",
                        "1",
                        each -> slices(each, LoadSlice::failed)));
        return list;
    }

    private static Cell starts(NodeResults results, ToDoubleFunction<Start> value) {
        return new Cell.Measured(Spread.of(results.starts().stream().mapToDouble(value).toArray()));
    }

    private static Cell slices(NodeResults results, ToDoubleFunction<LoadSlice> value) {
        return new Cell.Measured(
                Spread.of(results.load().slices().stream().mapToDouble(value).toArray()));
    }

    private static Cell discoveryStart(NodeResults results, ToDoubleFunction<Applied> value) {
        return results.discoveryStart() instanceof Applied applied
                ? single(value.applyAsDouble(applied))
                : new Cell.Failed(((NotApplied) results.discoveryStart()).reason());
    }

    private static Cell changes(NodeResults results, Cell measured) {
        return results.changes().allApplied()
                ? measured
                : new Cell.Failed("the changes were not all taken");
    }

    private static Cell single(double value) {
        return new Cell.Measured(Spread.of(value));
    }

    /** Creates rows from the results at each size, or from the reason of a failure. */
    private record Rows(
            SortedMap<Integer, NodeResults> measured, SortedMap<Integer, String> failed) {

        Row of(String label, String unit, Function<NodeResults, Cell> cell) {
            Row row = Row.of(label, unit);
            measured.forEach((servers, results) -> row.put(servers, cell.apply(results)));
            failed.forEach((servers, reason) -> row.put(servers, new Cell.Failed(reason)));
            return row;
        }
    }
}
