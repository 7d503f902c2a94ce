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
import ottergauge.capacity.program.Benchmarks.Plan;
import ottergauge.capacity.program.Benchmarks.Plans;
import ottergauge.capacity.report.Cell;
import ottergauge.capacity.report.Row;
import ottergauge.capacity.report.Section;
import ottergauge.capacity.report.Spread;
import ottergauge.capacity.workload.EncodedFleet;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.VersionedFleet;
import ottergauge.resources.ResourceCodec;

/** The tables of what runs in memory: reducers and codecs, by JMH, and what they retain, by JOL. */
final class ReducerSections {

    static final String SERVERS = "server";
    static final String CLASSES = "class";

    /** Classes of the rows that are told by number of servers. */
    static final int USUAL_CLASSES = 8;

    private static final Plans LISTS =
            new Plans(
                    List.of(
                            new Plan(ListCodecBenchmark.class, "readWhole", "read a whole list"),
                            new Plan(ListCodecBenchmark.class, "writeWhole", "write a whole list"),
                            new Plan(
                                    RouterListBenchmark.class,
                                    "takeWhole",
                                    "router takes a whole list over"),
                            new Plan(
                                    RouterListBenchmark.class,
                                    "takeChange",
                                    "router takes one change over"),
                            new Plan(
                                    DecisionListBenchmark.class,
                                    "followWhole",
                                    "decisions alone, a whole list"),
                            new Plan(
                                    DecisionListBenchmark.class,
                                    "followChange",
                                    "decisions alone, one change")),
                    List.of(
                            new Plan(ListCodecBenchmark.class, "readChange", "read one change"),
                            new Plan(ListCodecBenchmark.class, "writeChange", "write one change")));
    private static final Plans RESOURCES =
            new Plans(
                    List.of(
                            new Plan(
                                    ResourceCodecBenchmark.class,
                                    "readSnapshot",
                                    "read all pages of a snapshot")),
                    List.of(
                            new Plan(ResourceCodecBenchmark.class, "readChange", "read one change"),
                            new Plan(
                                    ResourceCodecBenchmark.class,
                                    "writeChange",
                                    "write one change")));
    private static final Plan DECISION =
            new Plan(DecisionBenchmark.class, "serveRequest", "decisions for one request");
    private static final Plan WINDOW =
            new Plan(DecisionBenchmark.class, "endWindow", "end of a window");

    // Classes past this many share a row of weights: lines are fitted up to here.
    private static final int MOST_ROWS = 64;

    private final Benchmarks benchmarks;
    private final Sizes sizes;
    private final long seed;

    /** Numbers of servers, and of classes. */
    record Sizes(List<Integer> servers, List<Integer> classes) {

        int mostServers() {
            return servers.get(servers.size() - 1);
        }
    }

    ReducerSections(Benchmarks benchmarks, Sizes sizes, long seed) {
        this.benchmarks = benchmarks;
        this.sizes = sizes;
        this.seed = seed;
    }

    Section lists() throws RunnerException {
        List<Row> rows = new ArrayList<>(messages());
        rows.addAll(benchmarks.byServers(LISTS, sizes.servers(), USUAL_CLASSES));
        return new Section(
                "A list and a change of it",
                List.of(
                        "The router's rows hold all that a list costs behind its reading: held"
                                + " servers, connections,",
                        "watch and decisions. A change is one server that begins to drain or is in"
                                + " service again. "
                                + USUAL_CLASSES
                                + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.mostServers(),
                rows);
    }

    private List<Row> messages() {
        Row whole = Row.of("message: a whole list", "B");
        Row change = Row.of("message: one change", "B");
        for (int servers : sizes.servers()) {
            Fleet fleet = Fleet.draw(servers, seed, Loopback.UNUSED);
            whole.put(servers, exactly(fleet.whole().json().length));
            change.put(servers, exactly(fleet.change().json().length));
        }
        return List.of(whole, change);
    }

    Section versionedState() throws RunnerException {
        List<Row> rows = new ArrayList<>(pages());
        rows.addAll(benchmarks.byServers(RESOURCES, sizes.servers(), USUAL_CLASSES));
        return new Section(
                "Versioned state: services, servers, routes and tenants",
                List.of(
                        "With 8,000 servers go 500 services, 2,700 routes and 38,000 tenants, with"
                                + " fewer as many in",
                        "proportion. A change is one server that begins to drain or is in service"
                                + " again; a snapshot",
                        "comes in pages of at most " + EncodedFleet.PAGE_BYTES + " bytes."),
                SERVERS,
                sizes.servers(),
                sizes.mostServers(),
                rows);
    }

    private List<Row> pages() {
        Row resources = Row.of("resources", "1");
        Row snapshot = Row.of("messages: all pages of a snapshot", "B");
        Row change = Row.of("message: one change", "B");
        for (int servers : sizes.servers()) {
            VersionedFleet fleet = VersionedFleet.draw(servers, seed);
            EncodedFleet encoded = EncodedFleet.of(fleet);
            resources.put(servers, exactly(encoded.resources()));
            snapshot.put(servers, exactly(encoded.bytes()));
            change.put(servers, exactly(ResourceCodec.write(fleet.changePage()).length));
        }
        return List.of(resources, snapshot, change);
    }

    Section decisionsByServers() throws RunnerException {
        List<Row> rows = new ArrayList<>();
        rows.addAll(benchmarks.byServers(DECISION, sizes.servers(), USUAL_CLASSES));
        rows.addAll(benchmarks.byServers(WINDOW, sizes.servers(), USUAL_CLASSES));
        return new Section(
                "Decisions by number of servers",
                List.of(
                        "A request arrives, is sent, and is answered 10 ms later with a report of"
                                + " load; 62 a second, so",
                        "that its figures hold one 310th of a window's end. The window that ends is"
                                + " one in which nothing",
                        "was served. " + USUAL_CLASSES + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.mostServers(),
                rows);
    }

    Section decisionsByClasses() throws RunnerException {
        List<Row> rows = new ArrayList<>();
        rows.addAll(benchmarks.byClasses(DECISION, sizes.classes(), sizes.mostServers()));
        rows.addAll(benchmarks.byClasses(WINDOW, sizes.classes(), sizes.mostServers()));
        return new Section(
                "Decisions by number of classes",
                List.of(
                        "As above, with "
                                + sizes.mostServers()
                                + " servers. Classes past the 64th share one row of",
                        "weights: lines are fitted up to there."),
                CLASSES,
                sizes.classes(),
                MOST_ROWS,
                rows);
    }

    Section heapByServers() {
        Row list = Row.of("a list as it is read", "B");
        Row decisions = Row.of("decisions", "B");
        Row router = Row.of("router, list from the configuration", "B");
        Row told = Row.of("router, list from discovery", "B");
        for (int servers : sizes.servers()) {
            list.put(servers, exactly(RetainedHeap.ofList(servers, seed)));
            decisions.put(servers, exactly(RetainedHeap.ofDecisions(servers, USUAL_CLASSES, seed)));
            router.put(servers, exactly(RetainedHeap.ofRouter(servers, USUAL_CLASSES, seed)));
            told.put(servers, exactly(RetainedHeap.ofToldRouter(servers, USUAL_CLASSES, seed)));
        }
        return new Section(
                "Retained on the heap, by number of servers",
                List.of(
                        "All objects that can be reached, by JOL's GraphLayout with compressed"
                                + " references. The router's",
                        "rows hold the decisions and the configuration, whose list stays referenced"
                                + " after the start.",
                        USUAL_CLASSES + " classes."),
                SERVERS,
                sizes.servers(),
                sizes.mostServers(),
                List.of(list, decisions, router, told));
    }

    Section heapByClasses() {
        Row decisions = Row.of("decisions, " + sizes.mostServers() + " servers", "B");
        for (int classes : sizes.classes()) {
            decisions.put(
                    classes, exactly(RetainedHeap.ofDecisions(sizes.mostServers(), classes, seed)));
        }
        return new Section(
                "Retained on the heap, by number of classes",
                List.of(),
                CLASSES,
                sizes.classes(),
                MOST_ROWS,
                List.of(decisions));
    }

    private static Cell exactly(long value) {
        return new Cell.Measured(Spread.of((double) value));
    }
}
