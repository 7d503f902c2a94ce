// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ottergauge.lab.scale.scenario.ScaleScenario;

/**
 * The servers that discovery should list. The test changes them, and compares them with the servers
 * that the nodes use.
 */
final class ServerList {

    /** The health of a server in the list. */
    enum Health {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * A server and its place in the fleet. A place keeps its number when its server is replaced.
     */
    private record Server(String name, int place, Health health, long bornMs) {}

    private static final int ZONES = 10;
    private static final int DIGEST_BYTES = 8;
    private static final int PORT = 8_080;
    private static final int BYTE = 256;

    private final int services;
    private final SplittableRandom random;
    private final Map<Integer, Server> places = new LinkedHashMap<>();
    private final List<Integer> draining = new ArrayList<>();
    private final List<Integer> empty = new ArrayList<>();
    private final int[] generations;
    private int nextToRelease;

    ServerList(ScaleScenario scenario) {
        services = scenario.state().services();
        random = new SplittableRandom(scenario.seed());
        generations = new int[scenario.state().servers()];
        for (int place = 0; place < generations.length; place++) {
            places.put(place, new Server(name(place), place, Health.IN_SERVICE, 0));
        }
    }

    private String name(int place) {
        return "svc-%03d-s%05d-%d".formatted(place % services, place, generations[place]);
    }

    /** Returns all entries in the form of the discovery protocol. */
    ArrayNode allEntries() {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        places.values().forEach(server -> entries.add(entry(server)));
        return entries;
    }

    private static ObjectNode entry(Server server) {
        // A loopback address at which nothing listens; no node connects to it.
        String dial =
                "127.251."
                        + server.place() / BYTE % BYTE
                        + "."
                        + server.place() % BYTE
                        + ":"
                        + PORT;
        return JsonNodeFactory.instance
                .objectNode()
                .put("host", server.name())
                .put("dial", dial)
                .put("site", zone(server.place()))
                .put("class", "std")
                .put("block", 0)
                .put("health", server.health().name().toLowerCase(java.util.Locale.ROOT))
                .put("share", 1.0)
                .put("born_ms", server.bornMs());
    }

    /** Returns the names of all zones. */
    static List<String> zones() {
        List<String> zones = new ArrayList<>();
        for (int place = 0; place < ZONES; place++) {
            zones.add(zone(place));
        }
        return zones;
    }

    private static String zone(int place) {
        return "z" + place % ZONES;
    }

    /** Makes a random change: a server starts to drain, terminates, or is added. */
    ArrayNode randomChange(long nowMs) {
        int kind = random.nextInt(3);
        if (kind == 0 && !draining.isEmpty()) {
            return singleEntry(terminate(draining.get(random.nextInt(draining.size()))));
        }
        if (kind == 1 && !empty.isEmpty()) {
            return singleEntry(add(empty.get(random.nextInt(empty.size())), nowMs));
        }
        List<Integer> serving =
                places.values().stream()
                        .filter(server -> server.health() == Health.IN_SERVICE)
                        .map(Server::place)
                        .toList();
        return serving.isEmpty()
                ? singleEntry(add(empty.get(0), nowMs))
                : singleEntry(drain(serving.get(random.nextInt(serving.size()))));
    }

    /**
     * Makes the next change of a release: each server in turn drains, terminates, and is replaced
     * by one with another name.
     */
    ArrayNode release(long nowMs) {
        int place = nextToRelease;
        Server server = places.get(place);
        if (server == null) {
            nextToRelease = (place + 1) % generations.length;
            return singleEntry(add(place, nowMs));
        }
        return singleEntry(server.health() == Health.IN_SERVICE ? drain(place) : terminate(place));
    }

    /**
     * Terminates this fraction of all servers in one change: all servers of one zone, then those of
     * the next, until the fraction is reached.
     */
    ArrayNode loseZones(double fraction) {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        long limit = Math.round(fraction * places.size());
        for (int zone = 0; zone < ZONES; zone++) {
            for (int place = zone; place < generations.length; place += ZONES) {
                if (entries.size() < limit && places.containsKey(place)) {
                    entries.add(terminate(place));
                }
            }
        }
        return entries;
    }

    private static ArrayNode singleEntry(ObjectNode entry) {
        return JsonNodeFactory.instance.arrayNode().add(entry);
    }

    private ObjectNode drain(int place) {
        Server server = places.get(place);
        Server drainingServer =
                new Server(server.name(), place, Health.TERMINATING, server.bornMs());
        places.put(place, drainingServer);
        draining.add(place);
        return entry(drainingServer);
    }

    private ObjectNode terminate(int place) {
        Server server = places.remove(place);
        draining.remove((Integer) place);
        empty.add(place);
        return entry(new Server(server.name(), place, Health.TERMINATED, server.bornMs()));
    }

    private ObjectNode add(int place, long nowMs) {
        generations[place]++;
        Server server = new Server(name(place), place, Health.IN_SERVICE, nowMs);
        places.put(place, server);
        empty.remove((Integer) place);
        return entry(server);
    }

    /** Returns the digest that a node should report for its servers. */
    String digest() {
        List<String> lines =
                new ArrayList<>(
                        places.values().stream()
                                .map(
                                        server ->
                                                server.name()
                                                        + (server.health() == Health.IN_SERVICE
                                                                ? " used"
                                                                : " draining"))
                                .toList());
        lines.sort(null);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            lines.forEach(line -> digest.update((line + '\n').getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
