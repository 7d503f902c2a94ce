// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.lab.node.Signals;
import ottergauge.lab.run.RunException;
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.process.ChildProcess;
import ottergauge.lab.scale.process.ProcessUsage;
import ottergauge.lab.scale.process.Reaper;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;

/** The processes of a scale test: discovery, links, hollow nodes and real ones. */
final class Fleet implements AutoCloseable {

    /** The program under test: its folder, and the line that starts a real node. */
    record Program(Path root, String run) {}

    private static final String DISCOVERY = "discovery";
    private static final String LINKS = "links";
    private static final long READY_WITHIN_S = 60;

    private final ScaleScenario scenario;
    private final Program program;
    private final Path folder;
    private final ScaleAddresses addresses;
    private final Reaper reaper = new Reaper();
    private final Signals signals = new Signals();
    private final Observations seen;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> hollowNodes = new LinkedHashMap<>();
    private final List<String> realNodes = new ArrayList<>();
    private final Map<String, String> regionOf = new LinkedHashMap<>();
    private final Map<String, CountDownLatch> ready = new LinkedHashMap<>();
    private final EventRecorder told;

    Fleet(
            ScaleScenario scenario,
            Program program,
            Path folder,
            ScaleAddresses addresses,
            Observations seen)
            throws IOException {
        this.scenario = scenario;
        this.program = program;
        this.folder = Files.createDirectories(folder);
        this.addresses = addresses;
        this.seen = seen;
        told = new EventRecorder(seen, this::isReady);
        placeNodes();
        prepareDiscovery();
        prepareLinks();
    }

    // Hollow processes go round the regions, so that each region has as many.
    private void placeNodes() {
        int from = 1;
        for (int process = 0; process < scenario.nodes().processes(); process++) {
            int count =
                    scenario.nodes().hollow() / scenario.nodes().processes()
                            + (process < scenario.nodes().hollow() % scenario.nodes().processes()
                                    ? 1
                                    : 0);
            List<String> names = new ArrayList<>();
            for (int number = from; number < from + count; number++) {
                names.add("h" + number);
                regionOf.put("h" + number, ScaleScenario.region(process % scenario.regions()));
                seen.expect("h" + number);
            }
            hollowNodes.put("hollow-" + (process + 1), names);
            from += count;
        }
        for (int node = 0; node < scenario.nodes().real(); node++) {
            String name = "real-" + (node + 1);
            realNodes.add(name);
            regionOf.put(name, ScaleScenario.region(node % scenario.regions()));
            seen.expect(name);
            told.caller(addresses.sourceOfReal(node), name);
        }
    }

    private void prepareDiscovery() {
        process(
                DISCOVERY,
                standIn(
                        scenario.discovery().heapMb(),
                        DISCOVERY,
                        "--listen",
                        addresses.discovery(),
                        "--calls-per-second",
                        "" + scenario.discovery().callsPerSecond(),
                        "--patience-us",
                        "" + scenario.discovery().patience()));
    }

    private void prepareLinks() {
        process(LINKS, standIn(256, LINKS));
    }

    private static ProcessBuilder standIn(int heapMb, String... command) {
        List<String> line =
                new ArrayList<>(
                        List.of(
                                java(),
                                "-Xmx" + heapMb + "m",
                                "-XX:+UseSerialGC",
                                "-XX:-UsePerfData",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "ottergauge.lab.program.Main"));
        line.addAll(List.of(command));
        return new ProcessBuilder(line);
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private ChildProcess process(String name, ProcessBuilder builder) {
        Consumer<JsonNode> take = event -> told.take(name, event);
        ChildProcess process =
                new ChildProcess(
                        name, builder, folder.resolve(name + ".log"), reaper, signals, take);
        processes.put(name, process);
        return process;
    }

    private void isReady(String name) {
        CountDownLatch latch;
        synchronized (ready) {
            latch = ready.get(name);
        }
        if (latch != null) {
            latch.countDown();
        }
    }

    // Starts a process, gives it its first order and waits until it says that it is ready.
    private void start(String name, String order)
            throws IOException, InterruptedException, RunException {
        CountDownLatch latch = new CountDownLatch(1);
        synchronized (ready) {
            ready.put(name, latch);
        }
        ChildProcess process = processes.get(name);
        process.start();
        process.order(order);
        if (!latch.await(READY_WITHIN_S, TimeUnit.SECONDS)) {
            throw new RunException(
                    name + " is not ready; the end of its log:\n" + process.logEnd());
        }
    }

    /**
     * Starts discovery, for the first time or anew: it knows this list and nothing of what was
     * before.
     */
    void startDiscovery(long version, ArrayNode list)
            throws IOException, InterruptedException, RunException {
        start(
                DISCOVERY,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("version", version)
                        .<ObjectNode>set("hosts", list)
                        .toString());
    }

    /** Starts the links. */
    void startLinks() throws IOException, InterruptedException, RunException {
        ObjectNode order = JsonNodeFactory.instance.objectNode();
        ArrayNode links = order.putArray("links");
        for (int region = 0; region < scenario.regions(); region++) {
            links.addObject()
                    .put("name", ScaleScenario.region(region))
                    .put("listen", addresses.discoveryFrom(region))
                    .put("target", addresses.discovery());
        }
        for (int node = 0; node < scenario.nodes().real(); node++) {
            links.addObject()
                    .put("name", realNodes.get(node))
                    .put("listen", addresses.discoveryOfReal(node))
                    .put("target", addresses.discovery())
                    .put("source", addresses.sourceOfReal(node));
        }
        start(LINKS, order.toString());
    }

    /** Starts all nodes; {@code list} is what they know, if they are to know it. */
    void startNodes(long version, ArrayNode list) throws IOException {
        boolean knows = scenario.nodes().knows();
        long knownVersion = knows ? version : 0;
        ArrayNode known = knows ? list : JsonNodeFactory.instance.arrayNode();
        for (int node = 0; node < realNodes.size(); node++) {
            startReal(node, knownVersion, known);
        }
        int process = 0;
        int from = 1;
        for (Map.Entry<String, List<String>> each : hollowNodes.entrySet()) {
            Path config = folder.resolve(each.getKey() + ".json");
            Files.writeString(
                    config,
                    NodeTemplate.of(
                                    scenario,
                                    each.getKey(),
                                    0,
                                    "127.0.0.1:1",
                                    addresses.discoveryFrom(process % scenario.regions()),
                                    knownVersion,
                                    known)
                            .toString());
            ProcessBuilder builder =
                    new ProcessBuilder(
                            java(),
                            "-Xmx" + scenario.nodes().heapMb() + "m",
                            "-XX:-UsePerfData",
                            "-XX:TieredStopAtLevel=1",
                            "-XX:ParallelGCThreads=2",
                            "-XX:ConcGCThreads=1",
                            "-Dio.netty.jfr.enabled=false",
                            "-Djava.net.preferIPv4Stack=true",
                            "-Dorg.slf4j.simpleLogger.defaultLogLevel=error",
                            "-jar",
                            program.root().resolve("target/ottergauge.jar").toString(),
                            "hollow",
                            "--config",
                            config.toString(),
                            "--count",
                            "" + each.getValue().size(),
                            "--from",
                            "" + from,
                            "--loops",
                            "" + Math.min(scenario.nodes().loops(), each.getValue().size()),
                            "--start-over-ms",
                            "" + TimeUnit.MICROSECONDS.toMillis(scenario.nodes().startOver()));
            process(each.getKey(), builder).start();
            from += each.getValue().size();
            process++;
        }
    }

    private void startReal(int node, long knownVersion, ArrayNode known) throws IOException {
        String name = realNodes.get(node);
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                NodeTemplate.of(
                                scenario,
                                name,
                                scenario.nodes().hollow() + node,
                                addresses.real(node),
                                addresses.discoveryOfReal(node),
                                knownVersion,
                                known)
                        .toString());
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", program.run())
                        .directory(program.root().toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve(name)).toString());
        process(name, builder).start();
    }

    /** Tells discovery of a change; its instant and version come back by what it tells. */
    void change(long id, ArrayNode entries) {
        processes
                .get(DISCOVERY)
                .order(
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("id", id)
                                .<ObjectNode>set("hosts", entries)
                                .toString());
    }

    /** Cuts regions with their real nodes off, or heals them. */
    void cut(Collection<String> regions, boolean cuts) {
        ObjectNode order = JsonNodeFactory.instance.objectNode().put("cut", cuts);
        ArrayNode links = order.putArray("links");
        regions.forEach(links::add);
        realNodes.stream().filter(name -> regions.contains(regionOf.get(name))).forEach(links::add);
        processes.get(LINKS).order(order.toString());
    }

    /** Has all hollow nodes drop their connections and state and begin anew. */
    void restartHollow() {
        orderHollow("restart");
    }

    /** Asks all hollow nodes how their servers stand. */
    void askServers() {
        orderHollow("servers");
    }

    private void orderHollow(String order) {
        hollowNodes.keySet().forEach(name -> processes.get(name).order(order));
    }

    /** Kills a process. */
    void kill(String name) throws InterruptedException {
        processes.get(name).kill();
    }

    /** Stops a process, or lets it go on. */
    void stall(String name, boolean stalls) {
        if (stalls) {
            seen.excuse(name, Long.MAX_VALUE);
        } else {
            seen.excuse(name, Reporter.wallMicros() + TimeUnit.SECONDS.toMicros(2));
        }
        processes.get(name).stalled(stalls);
    }

    /** The hollow nodes of a process, or all of them. */
    List<String> hollow() {
        return hollowNodes.values().stream().flatMap(List::stream).toList();
    }

    List<String> hollowOf(String process) {
        return hollowNodes.getOrDefault(process, List.of());
    }

    List<String> real() {
        return realNodes;
    }

    /** All nodes of some regions. */
    List<String> nodesOf(Collection<String> regions) {
        return regionOf.entrySet().stream()
                .filter(each -> regions.contains(each.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Notes what each process uses, and gives back the memory of all together. */
    long look() {
        long resident = 0;
        long at = Reporter.wallMicros();
        seen.use(Observations.MACHINE, ProcessUsage.ofMachine().cpuMicros(), 0, at);
        seen.use(Observations.RIG, ProcessUsage.of(ProcessHandle.current().pid()).cpuMicros(), 0, at);
        for (ChildProcess process : List.copyOf(processes.values())) {
            if (process.isAlive()) {
                ProcessUsage use = ProcessUsage.of(process.pid());
                seen.use(process.name(), use.cpuMicros(), use.residentBytes(), at);
                resident += use.residentBytes();
            }
        }
        return resident;
    }

    /** A process that has ended by itself, if there is one. */
    String ended(Collection<String> expected) {
        return processes.values().stream()
                .filter(process -> !process.isAlive() && !expected.contains(process.name()))
                .map(
                        process ->
                                process.name()
                                        + " has ended; the end of its log:\n"
                                        + process.logEnd())
                .findFirst()
                .orElse(null);
    }

    @Override
    public void close() throws IOException {
        try {
            for (ChildProcess process : processes.values()) {
                process.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        signals.close();
        reaper.close();
    }
}
