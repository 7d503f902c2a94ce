// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import ottergauge.capacity.node.NodeFigures;
import ottergauge.capacity.node.NodeFigures.LoadSlice;
import ottergauge.capacity.node.NodeFigures.NotTaken;
import ottergauge.capacity.node.NodeFigures.Start;
import ottergauge.capacity.node.NodeFigures.Taken;
import ottergauge.capacity.node.NodeMeasurement;
import ottergauge.capacity.report.Cell;
import ottergauge.capacity.report.Row;
import ottergauge.capacity.report.Section;
import ottergauge.capacity.report.Spread;
import ottergauge.capacity.workload.NodeConfiguration;

/** The tables of the real process. */
final class NodeSections {

    private static final double BYTES_A_MEGABYTE = 1e6;
    private static final double MILLIS = 1e3;

    private final NodeMeasurement measurement;
    private final NodeMeasurement.Effort effort;
    private final List<Integer> sizes;

    NodeSections(NodeMeasurement measurement, NodeMeasurement.Effort effort, List<Integer> sizes) {
        this.measurement = measurement;
        this.effort = effort;
        this.sizes = sizes;
    }

    /** Measures all sizes; one that cannot be measured leaves its reason in each of its cells. */
    List<Section> measure() throws InterruptedException {
        SortedMap<Integer, NodeFigures> measured = new TreeMap<>();
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
                        + effort.starts()
                        + " times; idle is "
                        + effort.settleMs() / MILLIS
                        + " s after it was ready.",
                "Bytes and calls are those that discovery's stand-in saw on its sockets, heads"
                        + " included.",
                "CPU at rest is of "
                        + effort.restSeconds()
                        + " s, at changes of "
                        + effort.changeSlices()
                        + " times "
                        + effort.changeSliceSeconds()
                        + " s. The system tells CPU in steps of 10 ms.");
    }

    private List<String> loadNotes() {
        return List.of(
                "Open loop at "
                        + NodeMeasurement.REQUESTS_A_SECOND
                        + " a second, Poisson, after "
                        + effort.warmUpRequests()
                        + " requests, "
                        + effort.loadSlices()
                        + " times "
                        + effort.loadSliceSeconds()
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
        List<Row> made = new ArrayList<>();
        made.add(
                rows.of(
                        "exec to ready, list from the configuration",
                        "ms",
                        each -> starts(each, Start::readyMs)));
        made.add(rows.of("CPU from exec to ready", "ms", each -> starts(each, Start::cpuMs)));
        made.add(
                rows.of(
                        "resident, idle, list from the configuration",
                        "MB",
                        each -> starts(each, start -> start.residentBytes() / BYTES_A_MEGABYTE)));
        made.add(
                rows.of(
                        "exec to the list taken from discovery",
                        "ms",
                        each -> told(each, Taken::afterMs)));
        made.add(
                rows.of(
                        "resident, idle, list from discovery",
                        "MB",
                        each -> told(each, taken -> taken.residentBytes() / BYTES_A_MEGABYTE)));
        made.add(
                rows.of(
                        "most resident, all over",
                        "MB",
                        each -> one(each.peakResidentBytes() / BYTES_A_MEGABYTE)));
        made.add(rows.of("CPU at rest", "part of a core", each -> one(each.rest().cpu())));
        made.add(
                rows.of(
                        "calls to discovery at rest",
                        "1/s",
                        each -> one(each.rest().callsPerSecond())));
        made.add(
                rows.of(
                        "bytes at discovery at rest",
                        "B/s",
                        each -> one(each.rest().bytesPerSecond())));
        made.add(
                rows.of(
                        "CPU at " + NodeMeasurement.CHANGES_A_SECOND + " changes a second",
                        "part of a core",
                        each -> changes(each, new Cell.Measured(Spread.of(each.changes().cpu())))));
        made.add(
                rows.of(
                        "bytes at discovery for a change",
                        "B",
                        each -> changes(each, one(each.changes().bytesPerChange()))));
        made.add(
                rows.of(
                        "calls to discovery for a change",
                        "1",
                        each -> changes(each, one(each.changes().callsPerChange()))));
        return made;
    }

    private static List<Row> load(Rows rows) {
        List<Row> made = new ArrayList<>();
        made.add(
                rows.of(
                        "CPU of a request",
                        "ms",
                        each -> slices(each, LoadSlice::cpuMsPerRequest)));
        made.add(
                rows.of(
                        "through the node, 50th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::throughMs50)));
        made.add(
                rows.of(
                        "through the node, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::throughMs99)));
        made.add(
                rows.of(
                        "past the node, 50th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::directMs50)));
        made.add(
                rows.of(
                        "past the node, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::directMs99)));
        made.add(
                rows.of(
                        "added, 50th percentile",
                        "ms",
                        each -> slices(each, slice -> slice.throughMs50() - slice.directMs50())));
        made.add(
                rows.of(
                        "added, 99th percentile",
                        "ms",
                        each -> slices(each, slice -> slice.throughMs99() - slice.directMs99())));
        made.add(
                rows.of(
                        "sent late by the measuring process, 99th percentile",
                        "ms",
                        each -> slices(each, LoadSlice::lateMs99)));
        made.add(
                rows.of(
                        "requests through the node in a time slice",
                        "1",
                        each -> slices(each, LoadSlice::served)));
        made.add(
                rows.of(
                        "requests that were not answered 200",
                        "1",
                        each -> slices(each, LoadSlice::failed)));
        return made;
    }

    private static Cell starts(NodeFigures figures, ToDoubleFunction<Start> value) {
        return new Cell.Measured(Spread.of(figures.starts().stream().mapToDouble(value).toArray()));
    }

    private static Cell slices(NodeFigures figures, ToDoubleFunction<LoadSlice> value) {
        return new Cell.Measured(
                Spread.of(figures.load().slices().stream().mapToDouble(value).toArray()));
    }

    private static Cell told(NodeFigures figures, ToDoubleFunction<Taken> value) {
        return figures.told() instanceof Taken taken
                ? one(value.applyAsDouble(taken))
                : new Cell.Failed(((NotTaken) figures.told()).why());
    }

    private static Cell changes(NodeFigures figures, Cell measured) {
        return figures.changes().followed()
                ? measured
                : new Cell.Failed("the changes were not all taken");
    }

    private static Cell one(double value) {
        return new Cell.Measured(Spread.of(value));
    }

    /** Makes rows of what was measured at each size, or of why it was not. */
    private record Rows(
            SortedMap<Integer, NodeFigures> measured, SortedMap<Integer, String> failed) {

        Row of(String what, String unit, Function<NodeFigures, Cell> cell) {
            Row row = Row.of(what, unit);
            measured.forEach((servers, figures) -> row.put(servers, cell.apply(figures)));
            failed.forEach((servers, why) -> row.put(servers, new Cell.Failed(why)));
            return row;
        }
    }
}
