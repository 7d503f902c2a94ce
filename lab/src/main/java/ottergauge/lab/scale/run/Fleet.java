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
import ottergauge.lab.scale.process.ChildProcess;
import ottergauge.lab.scale.process.ProcessUsage;
import ottergauge.lab.scale.process.Reaper;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.statistics.Observations;

/** The processes of a scale test: discovery, links, hollow nodes and real nodes. */
final class Fleet implements AutoCloseable {

    /** The program under test: its folder, and the command line that starts a real node. */
    record Program(Path root, String run) {}

    private static final String DISCOVERY = "discovery";
    private static final String LINKS = "links";
    private static final long READY_TIMEOUT_S = 60;

    private final ScaleScenario scenario;
    private final Program program;
    private final Path folder;
    private final ScaleAddresses addresses;
    private final Reaper reaper = new Reaper();
    private final Signals signals = new Signals();
    private final Observations observations;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> hollowNodes = new LinkedHashMap<>();
    private final List<String> realNodes = new ArrayList<>();
    private final Map<String, String> regionOf = new LinkedHashMap<>();
    private final Map<String, CountDownLatch> ready = new LinkedHashMap<>();
    private final EventRecorder eventRecorder;

    Fleet(
            ScaleScenario scenario,
            Program program,
            Path folder,
            ScaleAddresses addresses,
            Observations observations)
            throws IOException {
        this.scenario = scenario;
        this.program = program;
        this.folder = Files.createDirectories(folder);
        this.addresses = addresses;
        this.observations = observations;
        eventRecorder = new EventRecorder(observations, this::markReady);
        assignNodes();
        prepareDiscovery();
        prepareLinks();
    }

    // Assigns hollow processes to the regions in turn, so that each region has the same number.
    private void assignNodes() {
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
                observations.addNode("h" + number);
            }
            hollowNodes.put("hollow-" + (process + 1), names);
            from += count;
        }
        for (int node = 0; node < scenario.nodes().real(); node++) {
            String name = "real-" + (node + 1);
            realNodes.add(name);
            regionOf.put(name, ScaleScenario.region(node % scenario.regions()));
            observations.addNode(name);
            eventRecorder.addCaller(addresses.sourceOfReal(node), name);
        }
    }

    private void prepareDiscovery() {
        process(
                DISCOVERY,
                labProcess(
                        scenario.discovery().heapMb(),
                        DISCOVERY,
                        "--listen",
                        addresses.discovery(),
                        "--calls-per-second",
                        "" + scenario.discovery().callsPerSecond(),
                        "--patience-us",
                        "" + scenario.discovery().maxQueueTime()));
    }

    private void prepareLinks() {
        process(LINKS, labProcess(256, LINKS));
    }

    private static ProcessBuilder labProcess(int heapMb, String... command) {
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
        Consumer<JsonNode> eventHandler = event -> eventRecorder.recordEvent(name, event);
        ChildProcess process =
                new ChildProcess(
                        name,
                        builder,
                        folder.resolve(name + ".log"),
                        reaper,
                        signals,
                        eventHandler);
        processes.put(name, process);
        return process;
    }

    private void markReady(String name) {
        CountDownLatch latch;
        synchronized (ready) {
            latch = ready.get(name);
        }
        if (latch != null) {
            latch.countDown();
        }
    }

    // Starts a process, sends its first command and waits until it reports that it is ready.
    private void start(String name, String command)
            throws IOException, InterruptedException, RunException {
        CountDownLatch latch = new CountDownLatch(1);
        synchronized (ready) {
            ready.put(name, latch);
        }
        ChildProcess process = processes.get(name);
        process.start();
        process.sendCommand(command);
        if (!latch.await(READY_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new RunException(
                    name
                            + " did not become ready in time; the end of its log:\n"
                            + process.logTail());
        }
    }

    /**
     * Starts discovery for the first time, or again after it has ended. It knows this list and none
     * of the earlier changes.
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
        ObjectNode command = JsonNodeFactory.instance.objectNode();
        ArrayNode links = command.putArray("links");
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
        start(LINKS, command.toString());
    }

    /**
     * Starts all nodes; {@code list} is the server list that they get if the scenario preloads it.
     */
    void startNodes(long version, ArrayNode list) throws IOException {
        boolean preloaded = scenario.nodes().preloaded();
        long knownVersion = preloaded ? version : 0;
        ArrayNode known = preloaded ? list : JsonNodeFactory.instance.arrayNode();
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
                            "" + TimeUnit.MICROSECONDS.toMillis(scenario.nodes().startPeriod()));
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

    /** Sends a change to discovery, which reports its time and version as an event. */
    void change(long id, ArrayNode entries) {
        processes
                .get(DISCOVERY)
                .sendCommand(
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("id", id)
                                .<ObjectNode>set("hosts", entries)
                                .toString());
    }

    /** Cuts off regions with their real nodes, or reconnects them. */
    void cut(Collection<String> regions, boolean cuts) {
        ObjectNode command = JsonNodeFactory.instance.objectNode().put("cut", cuts);
        ArrayNode links = command.putArray("links");
        regions.forEach(links::add);
        realNodes.stream().filter(name -> regions.contains(regionOf.get(name))).forEach(links::add);
        processes.get(LINKS).sendCommand(command.toString());
    }

    /** Makes all hollow nodes drop their connections and state and start again. */
    void restartHollow() {
        sendToHollow("restart");
    }

    /** Asks all hollow nodes for the digest of their servers. */
    void requestDigests() {
        sendToHollow("servers");
    }

    private void sendToHollow(String command) {
        hollowNodes.keySet().forEach(name -> processes.get(name).sendCommand(command));
    }

    /** Kills a process. */
    void kill(String name) throws InterruptedException {
        processes.get(name).kill();
    }

    /** Suspends a process, or continues it. */
    void stall(String name, boolean suspended) {
        if (suspended) {
            observations.ignoreLateness(name, Long.MAX_VALUE);
        } else {
            observations.ignoreLateness(
                    name, Reporter.wallClockMicros() + TimeUnit.SECONDS.toMicros(2));
        }
        processes.get(name).setSuspended(suspended);
    }

    /** Returns the names of all hollow nodes. */
    List<String> hollow() {
        return hollowNodes.values().stream().flatMap(List::stream).toList();
    }

    List<String> hollowOf(String process) {
        return hollowNodes.getOrDefault(process, List.of());
    }

    List<String> real() {
        return realNodes;
    }

    /** Returns all nodes of these regions. */
    List<String> nodesOf(Collection<String> regions) {
        return regionOf.entrySet().stream()
                .filter(each -> regions.contains(each.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Records the resource usage of each process, and returns the resident bytes of all of them
     * together.
     */
    long recordUsage() {
        long resident = 0;
        long at = Reporter.wallClockMicros();
        observations.recordUsage(Observations.MACHINE, ProcessUsage.ofMachine().cpuMicros(), 0, at);
        observations.recordUsage(
                Observations.RIG,
                ProcessUsage.of(ProcessHandle.current().pid()).cpuMicros(),
                0,
                at);
        for (ChildProcess process : List.copyOf(processes.values())) {
            if (process.isAlive()) {
                ProcessUsage usage = ProcessUsage.of(process.pid());
                observations.recordUsage(
                        process.name(), usage.cpuMicros(), usage.residentBytes(), at);
                resident += usage.residentBytes();
            }
        }
        return resident;
    }

    /**
     * Returns a message about a process that has ended although it was not expected to, or null.
     */
    String describeExited(Collection<String> expected) {
        return processes.values().stream()
                .filter(process -> !process.isAlive() && !expected.contains(process.name()))
                .map(
                        process ->
                                process.name()
                                        + " has exited unexpectedly; the end of its log:\n"
                                        + process.logTail())
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
