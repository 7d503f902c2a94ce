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
 * The servers as they ought to be listed: changed by the play, and held against what nodes go by.
 */
final class ServerList {

    /** What the list says of a server. */
    enum Health {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** A place in the fleet, and the server that stands there now. */
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

    /** All entries, in discovery's form. */
    ArrayNode whole() {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        places.values().forEach(server -> entries.add(entry(server)));
        return entries;
    }

    private static ObjectNode entry(Server server) {
        // Nobody connects to it: an address of this machine at which nothing listens.
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

    /** The names of all zones. */
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

    /** A change drawn by chance: a server begins to drain, goes, or comes. */
    ArrayNode draw(long nowMs) {
        int what = random.nextInt(3);
        if (what == 0 && !draining.isEmpty()) {
            return only(terminate(draining.get(random.nextInt(draining.size()))));
        }
        if (what == 1 && !empty.isEmpty()) {
            return only(add(empty.get(random.nextInt(empty.size())), nowMs));
        }
        List<Integer> serving =
                places.values().stream()
                        .filter(server -> server.health() == Health.IN_SERVICE)
                        .map(Server::place)
                        .toList();
        return serving.isEmpty()
                ? only(add(empty.get(0), nowMs))
                : only(drain(serving.get(random.nextInt(serving.size()))));
    }

    /**
     * The next change of a release: each server in turn drains, goes, and comes back under another
     * name.
     */
    ArrayNode release(long nowMs) {
        int place = nextToRelease;
        Server server = places.get(place);
        if (server == null) {
            nextToRelease = (place + 1) % generations.length;
            return only(add(place, nowMs));
        }
        return only(server.health() == Health.IN_SERVICE ? drain(place) : terminate(place));
    }

    /** A part of all servers goes at once: those of as many zones as it takes. */
    ArrayNode lose(double part) {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        long most = Math.round(part * places.size());
        for (int zone = 0; zone < ZONES; zone++) {
            for (int place = zone; place < generations.length; place += ZONES) {
                if (entries.size() < most && places.containsKey(place)) {
                    entries.add(terminate(place));
                }
            }
        }
        return entries;
    }

    private static ArrayNode only(ObjectNode entry) {
        return JsonNodeFactory.instance.arrayNode().add(entry);
    }

    private ObjectNode drain(int place) {
        Server server = places.get(place);
        Server drains = new Server(server.name(), place, Health.TERMINATING, server.bornMs());
        places.put(place, drains);
        draining.add(place);
        return entry(drains);
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

    /** What a node's digest of its servers has to be. */
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
