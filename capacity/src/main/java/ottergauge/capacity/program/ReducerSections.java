// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.util.ArrayList;
import java.util.List;
import org.openjdk.jmh.runner.RunnerException;
import ottergauge.capacity.benchmark.DecisionBenchmark;
import ottergauge.capacity.benchmark.DecisionListBenchmark;
import ottergauge.capacity.benchmark.ListCodecBenchmark;
import ottergauge.capacity.benchmark.ResourceCodecBenchmark;
import ottergauge.capacity.benchmark.RouterListBenchmark;
import ottergauge.capacity.heap.RetainedHeap;
import ottergauge.capacity.program.Benchmarks.BenchmarkGroup;
import ottergauge.capacity.program.Benchmarks.BenchmarkMethod;
import ottergauge.capacity.report.Cell;
import ottergauge.capacity.report.Row;
import ottergauge.capacity.report.Section;
import ottergauge.capacity.report.Spread;
import ottergauge.capacity.workload.EncodedSnapshot;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.VersionedFleet;
import ottergauge.resources.ResourceCodec;

/**
 * The tables of in-memory measurements: CPU time and allocation of the node's state machines
 * (reducers) and codecs, by JMH, and their retained heap, by JOL.
 */
final class ReducerSections {

    static final String SERVERS = "server";
    static final String CLASSES = "class";

    /** Number of request classes in rows that vary the number of servers. */
    static final int DEFAULT_CLASSES = 8;

    private static final BenchmarkGroup LISTS =
            new BenchmarkGroup(
                    List.of(
                            new BenchmarkMethod(
                                    ListCodecBenchmark.class, "readWhole", "read a whole list"),
                            new BenchmarkMethod(
                                    ListCodecBenchmark.class, "writeWhole", "write a whole list"),
                            new BenchmarkMethod(
                                    RouterListBenchmark.class,
                                    "takeWhole",
                                    "router takes a whole list over"),
                            new BenchmarkMethod(
                                    RouterListBenchmark.class,
                                    "takeChange",
                                    "router takes one change over"),
                            new BenchmarkMethod(
                                    DecisionListBenchmark.class,
                                    "followWhole",
                                    "decisions alone, a whole list"),
                            new BenchmarkMethod(
                                    DecisionListBenchmark.class,
                                    "followChange",
                                    "decisions alone, one change")),
                    List.of(
                            new BenchmarkMethod(
                                    ListCodecBenchmark.class, "readChange", "read one change"),
                            new BenchmarkMethod(
                                    ListCodecBenchmark.class, "writeChange", "write one change")));
    private static final BenchmarkGroup RESOURCES =
            new BenchmarkGroup(
                    List.of(
                            new BenchmarkMethod(
                                    ResourceCodecBenchmark.class,
                                    "readSnapshot",
                                    "read all pages of a snapshot")),
                    List.of(
                            new BenchmarkMethod(
                                    ResourceCodecBenchmark.class, "readChange", "read one change"),
                            new BenchmarkMethod(
                                    ResourceCodecBenchmark.class,
                                    "writeChange",
                                    "write one change")));
    private static final BenchmarkMethod DECISION =
            new BenchmarkMethod(
                    DecisionBenchmark.class, "serveRequest", "decisions for one request");
    private static final BenchmarkMethod WINDOW =
            new BenchmarkMethod(DecisionBenchmark.class, "endWindow", "end of a window");

    // Request classes beyond this number share one set of server weights. Lines are fitted up to
    // this number.
    private static final int MAX_FITTED_CLASSES = 64;

    private final Benchmarks benchmarks;
    private final Sizes sizes;
    private final long seed;

    /** The measured numbers of servers and of request classes, in ascending order. */
    record Sizes(List<Integer> servers, List<Integer> classes) {

        int maxServers() {
            return servers.get(servers.size() - 1);
        }
    }

    ReducerSections(Benchmarks benchmarks, Sizes sizes, long seed) {
        this.benchmarks = benchmarks;
        this.sizes = sizes;
        this.seed = seed;
    }

    Section lists() throws RunnerException {
        List<Row> rows = new ArrayList<>(messageSizes());
        rows.addAll(benchmarks.byServers(LISTS, sizes.servers(), DEFAULT_CLASSES));
        return new Section(
                "A list and a change of it",
                List.of(
                        "The router's rows hold all that a list costs behind its reading: held"
                                + " servers, connections,",
                        "watch and decisions. A change is one server that begins to drain or is in"
                                + " service again. "
                                + DEFAULT_CLASSES
                                + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.maxServers(),
                rows);
    }

    private List<Row> messageSizes() {
        Row fullList = Row.of("message: a whole list", "B");
        Row change = Row.of("message: one change", "B");
        for (int servers : sizes.servers()) {
            Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
            fullList.put(servers, exact(fleet.fullList().json().length));
            change.put(servers, exact(fleet.change().json().length));
        }
        return List.of(fullList, change);
    }

    Section versionedState() throws RunnerException {
        List<Row> rows = new ArrayList<>(snapshotSizes());
        rows.addAll(benchmarks.byServers(RESOURCES, sizes.servers(), DEFAULT_CLASSES));
        return new Section(
                "Versioned state: services, servers, routes and tenants",
                List.of(
                        "With 8,000 servers go 500 services, 2,700 routes and 38,000 tenants, with"
                                + " fewer as many in",
                        "proportion. A change is one server that begins to drain or is in service"
                                + " again; a snapshot",
                        "comes in pages of at most " + EncodedSnapshot.PAGE_BYTES + " bytes."),
                SERVERS,
                sizes.servers(),
                sizes.maxServers(),
                rows);
    }

    private List<Row> snapshotSizes() {
        Row resources = Row.of("resources", "1");
        Row snapshot = Row.of("messages: all pages of a snapshot", "B");
        Row change = Row.of("message: one change", "B");
        for (int servers : sizes.servers()) {
            VersionedFleet fleet = VersionedFleet.generate(servers, seed);
            EncodedSnapshot encoded = EncodedSnapshot.of(fleet);
            resources.put(servers, exact(encoded.resources()));
            snapshot.put(servers, exact(encoded.bytes()));
            change.put(servers, exact(ResourceCodec.write(fleet.changePage()).length));
        }
        return List.of(resources, snapshot, change);
    }

    Section decisionsByServers() throws RunnerException {
        List<Row> rows = new ArrayList<>();
        rows.addAll(benchmarks.byServers(DECISION, sizes.servers(), DEFAULT_CLASSES));
        rows.addAll(benchmarks.byServers(WINDOW, sizes.servers(), DEFAULT_CLASSES));
        return new Section(
                "Decisions by number of servers",
                List.of(
                        "A request arrives, is sent, and is answered 10 ms later with a report of"
                                + " load; 62 a second, so",
                        "that its figures hold one 310th of a window's end. The window that ends is"
                                + " one in which nothing",
                        "was served. " + DEFAULT_CLASSES + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.maxServers(),
                rows);
    }

    Section decisionsByClasses() throws RunnerException {
        List<Row> rows = new ArrayList<>();
        rows.addAll(benchmarks.byClasses(DECISION, sizes.classes(), sizes.maxServers()));
        rows.addAll(benchmarks.byClasses(WINDOW, sizes.classes(), sizes.maxServers()));
        return new Section(
                "Decisions by number of classes",
                List.of(
                        "As above, with "
                                + sizes.maxServers()
                                + " servers. Classes past the 64th share one row of",
                        "weights: lines are fitted up to there."),
                CLASSES,
                sizes.classes(),
                MAX_FITTED_CLASSES,
                rows);
    }

    Section heapByServers() {
        Row list = Row.of("a list as it is read", "B");
        Row decisions = Row.of("decisions", "B");
        Row routerFromConfiguration = Row.of("router, list from the configuration", "B");
        Row routerFromDiscovery = Row.of("router, list from discovery", "B");
        for (int servers : sizes.servers()) {
            list.put(servers, exact(RetainedHeap.ofEndpointList(servers, seed)));
            decisions.put(
                    servers, exact(RetainedHeap.ofDecisionEngine(servers, DEFAULT_CLASSES, seed)));
            routerFromConfiguration.put(
                    servers,
                    exact(RetainedHeap.ofRouterWithConfiguredList(servers, DEFAULT_CLASSES, seed)));
            routerFromDiscovery.put(
                    servers,
                    exact(RetainedHeap.ofRouterWithDiscoveredList(servers, DEFAULT_CLASSES, seed)));
        }
        return new Section(
                "Retained on the heap, by number of servers",
                List.of(
                        "All objects that can be reached, by JOL's GraphLayout with compressed"
                                + " references. The router's",
                        "rows hold the decisions and the configuration, whose list stays referenced"
                                + " after the start.",
                        DEFAULT_CLASSES + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.maxServers(),
                List.of(list, decisions, routerFromConfiguration, routerFromDiscovery));
    }

    Section heapByClasses() {
        Row decisions = Row.of("decisions, " + sizes.maxServers() + " servers", "B");
        for (int classes : sizes.classes()) {
            decisions.put(
                    classes,
                    exact(RetainedHeap.ofDecisionEngine(sizes.maxServers(), classes, seed)));
        }
        return new Section(
                "Retained on the heap, by number of classes",
                List.of(),
                CLASSES,
                sizes.classes(),
                MAX_FITTED_CLASSES,
                List.of(decisions));
    }

    private static Cell exact(long value) {
        return new Cell.Measured(Spread.of((double) value));
    }
}
