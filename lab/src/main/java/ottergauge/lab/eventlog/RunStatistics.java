// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import ottergauge.lab.eventlog.EventLog.ClientAttempt;
import ottergauge.lab.eventlog.EventLog.ClientRequest;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.eventlog.EventLog.CostEntry;
import ottergauge.lab.eventlog.EventLog.ServerAttempt;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.LoadStep;
import ottergauge.lab.scenario.Scenario.RequestClass;

/** Statistics of a run, summed over all nodes from the event log. */
public final class RunStatistics {

    /** How a request ended, including its retries. */
    public enum Outcome {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    /**
     * Statistics of an interval. {@code worth} is the earned fraction of the offered worth: a
     * request served in time counts in full, and one served late with the late worth of its class.
     * {@code ideal} is the fraction that a scheduler with perfect knowledge could earn. {@code
     * inverted} is the number of pairs of a request that was served in time and a refused request
     * with more worth per work, divided by the number of requests. The component names, or the
     * names in their annotations, are field names of the report.
     */
    public record IntervalStats(
            long from,
            long to,
            @JsonProperty("asks") int requests,
            double worth,
            double ideal,
            double refused,
            double failed,
            @JsonProperty("triesPerAsk") double clientAttemptsPerRequest,
            @JsonProperty("attemptsPerAsk") double serverAttemptsPerRequest,
            double inverted,
            double probesPerServer,
            double handshakesPerServer,
            @JsonProperty("probesPerAsk") double probesPerRequest,
            double turnedAway,
            double busiestProbes) {}

    /**
     * Counts for one second of the run. The component names, or the names in their annotations, are
     * field names of the report.
     */
    public record Second(
            int second,
            int offered,
            int inTime,
            int late,
            int refused,
            int failed,
            @JsonProperty("tries") int clientAttempts,
            @JsonProperty("attempts") int serverAttempts,
            int probes,
            int handshakes,
            int listCalls,
            int turnedAway) {}

    private static final long SECOND = 1_000_000;
    private static final long STEP = 100_000;
    private static final double RECOVERED_SHARE = 0.95;
    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final Scenario scenario;
    private final EventLog eventLog;
    private final Map<ClientRequest, Outcome> outcomes = new HashMap<>();

    /** Computes the outcome of each request of one run. */
    public RunStatistics(Scenario scenario, EventLog eventLog) {
        this.scenario = scenario;
        this.eventLog = eventLog;
        eventLog.requests.forEach(request -> outcomes.put(request, outcome(request)));
    }

    private RequestClass type(ClientRequest request) {
        return scenario.classes().get(request.requestClass);
    }

    private Outcome outcome(ClientRequest request) {
        long served = request.servedAt();
        RequestClass type = type(request);
        if (served >= 0 && served <= request.intendedAt + type.deadline()) {
            return served <= request.intendedAt + type.latencyObjective()
                    ? Outcome.IN_TIME
                    : Outcome.LATE;
        }
        ClientAttempt last =
                request.clientAttempts.isEmpty()
                        ? null
                        : request.clientAttempts.get(request.clientAttempts.size() - 1);
        return last != null && (last.status == REFUSED || last.status == TOO_MANY_REQUESTS)
                ? Outcome.REFUSED
                : Outcome.FAILED;
    }

    public Outcome outcomeOf(ClientRequest request) {
        return outcomes.get(request);
    }

    private double earned(ClientRequest request) {
        return switch (outcomes.get(request)) {
            case IN_TIME -> type(request).worth();
            case LATE -> type(request).worth() * type(request).lateWorth();
            default -> 0;
        };
    }

    /**
     * The statistics of the requests that were planned for an interval, and of the costs caused in
     * it.
     */
    public IntervalStats interval(long from, long to) {
        List<ClientRequest> requests =
                eventLog.requests.stream()
                        .filter(a -> a.intendedAt >= from && a.intendedAt < to)
                        .toList();
        double offered = requests.stream().mapToDouble(request -> type(request).worth()).sum();
        double earned = requests.stream().mapToDouble(this::earned).sum();
        double clientAttempts =
                requests.stream().mapToInt(request -> request.clientAttempts.size()).sum();
        double serverAttempts =
                requests.stream()
                        .flatMap(request -> request.clientAttempts.stream())
                        .mapToInt(t -> t.serverAttempts.size())
                        .sum();
        int servers = scenario.servers().stream().mapToInt(Scenario.ServerKind::count).sum();
        double seconds = (to - from) / (double) SECOND;
        int count = Math.max(1, requests.size());
        return new IntervalStats(
                from,
                to,
                requests.size(),
                offered == 0 ? 1 : earned / offered,
                offered == 0 ? 1 : ideal(requests, from, to) / offered,
                share(requests, Outcome.REFUSED),
                share(requests, Outcome.FAILED),
                clientAttempts / count,
                serverAttempts / count,
                inverted(requests),
                costs(Cost.PROBE, from, to) / servers / seconds,
                costs(Cost.HANDSHAKE, from, to) / servers / seconds,
                costs(Cost.PROBE, from, to) / count,
                costs(Cost.TURNED_AWAY, from, to) / Math.max(1, serverAttempts),
                busiestProbes(from, to));
    }

    private double share(List<ClientRequest> requests, Outcome outcome) {
        return requests.stream().filter(request -> outcomes.get(request) == outcome).count()
                / (double) Math.max(1, requests.size());
    }

    private double costs(Cost cost, long from, long to) {
        return eventLog.costs.stream()
                .filter(p -> p.cost() == cost && p.at() >= from && p.at() < to)
                .count();
    }

    // The highest number of probes that one server got in one second.
    private double busiestProbes(long from, long to) {
        Map<String, Integer> bySecond = new HashMap<>();
        for (CostEntry each : eventLog.costs) {
            if (each.cost() == Cost.PROBE && each.at() >= from && each.at() < to) {
                bySecond.merge(each.target() + "/" + each.at() / SECOND, 1, Integer::sum);
            }
        }
        return bySecond.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    // Estimates the worth that a scheduler with perfect knowledge could earn: takes the requests in
    // descending order of worth per work, until they need more work than the servers can do in the
    // interval plus the longest latency objective of all classes.
    private double ideal(List<ClientRequest> requests, long from, long to) {
        long latencyObjective =
                scenario.classes().stream()
                        .mapToLong(RequestClass::latencyObjective)
                        .max()
                        .orElse(0);
        double remainingWork =
                scenario.servers().stream()
                                .mapToDouble(kind -> kind.count() * kind.cores() * kind.speed())
                                .sum()
                        * (to - from + latencyObjective);
        double worth = 0;
        List<ClientRequest> byWorth =
                requests.stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        (ClientRequest request) ->
                                                -type(request).worth() / request.work))
                        .toList();
        for (ClientRequest request : byWorth) {
            if (remainingWork < request.work) {
                break;
            }
            remainingWork -= request.work;
            worth += type(request).worth();
        }
        return worth;
    }

    // For each second and each class, pairs the requests of the class that were served in time with
    // the refused requests that had more worth per work. Sums the largest number of pairs of any
    // class over all seconds, and divides the sum by the number of requests.
    private double inverted(List<ClientRequest> requests) {
        Map<Long, List<ClientRequest>> bySecond = new TreeMap<>();
        requests.forEach(
                request ->
                        bySecond.computeIfAbsent(
                                        request.intendedAt / SECOND, s -> new ArrayList<>())
                                .add(request));
        double inverted = 0;
        for (List<ClientRequest> second : bySecond.values()) {
            int best = 0;
            for (RequestClass lowWorth : scenario.classes()) {
                long lowServed =
                        second.stream()
                                .filter(
                                        request ->
                                                type(request).equals(lowWorth)
                                                        && outcomes.get(request) == Outcome.IN_TIME)
                                .count();
                long highRefused =
                        second.stream()
                                .filter(
                                        request ->
                                                outcomes.get(request) == Outcome.REFUSED
                                                        && worthPerWork(type(request))
                                                                > worthPerWork(lowWorth))
                                .count();
                best = Math.max(best, (int) Math.min(lowServed, highRefused));
            }
            inverted += best;
        }
        return inverted / Math.max(1, requests.size());
    }

    private static double worthPerWork(RequestClass type) {
        return type.worth() / type.work();
    }

    /**
     * Returns the time from {@code after} until service has recovered, or -1 if it never does.
     * Service has recovered when, for {@code seconds} consecutive seconds, the earned fraction of
     * the worth is at least 0.95 of that in the interval that ends at {@code before}.
     */
    public long backAfter(long before, long after, int seconds) {
        double recovered = RECOVERED_SHARE * interval(Math.min(SECOND, before / 2), before).worth();
        for (long from = after; from + seconds * SECOND <= scenario.length(); from += STEP) {
            boolean back = true;
            for (int i = 0; i < seconds && back; i++) {
                back = interval(from + i * SECOND, from + (i + 1) * SECOND).worth() >= recovered;
            }
            if (back) {
                return from - after;
            }
        }
        return -1;
    }

    /** The statistics of each load step. */
    public List<IntervalStats> steps() {
        List<IntervalStats> intervals = new ArrayList<>();
        List<LoadStep> steps = scenario.load();
        for (int i = 0; i < steps.size(); i++) {
            intervals.add(
                    interval(
                            steps.get(i).from(),
                            i + 1 < steps.size() ? steps.get(i + 1).from() : scenario.length()));
        }
        return intervals;
    }

    /** Returns the counts of each second of the run. */
    @SuppressWarnings("EnumOrdinal") // Columns 1 to 4 have the order of Outcome.
    public List<Second> seconds() {
        int count = (int) ((scenario.length() + SECOND - 1) / SECOND);
        int[][] n = new int[count][11];
        for (ClientRequest request : eventLog.requests) {
            int second = (int) (request.intendedAt / SECOND);
            n[second][0]++;
            n[second][1 + outcomes.get(request).ordinal()]++;
            n[second][5] += request.clientAttempts.size();
        }
        for (ServerAttempt each : eventLog.serverAttempts) {
            add(n, each.at, 6);
        }
        for (CostEntry each : eventLog.costs) {
            add(
                    n,
                    each.at(),
                    switch (each.cost()) {
                        case PROBE -> 7;
                        case HANDSHAKE -> 8;
                        case LIST_CALL, LIST_CALL_FAILED -> 9;
                        case TURNED_AWAY -> 10;
                    });
        }
        List<Second> seconds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            seconds.add(
                    new Second(
                            i, n[i][0], n[i][1], n[i][2], n[i][3], n[i][4], n[i][5], n[i][6],
                            n[i][7], n[i][8], n[i][9], n[i][10]));
        }
        return seconds;
    }

    private static void add(int[][] counts, long at, int column) {
        int second = (int) (at / SECOND);
        if (at >= 0 && second < counts.length) {
            counts[second][column]++;
        }
    }

    /** Latency from the planned start to the successful response, by class, in microseconds. */
    public Map<String, Histogram> latencies() {
        Map<String, Histogram> byClass = new TreeMap<>();
        for (ClientRequest request : eventLog.requests) {
            long served = request.servedAt();
            if (served >= 0) {
                byClass.computeIfAbsent(type(request).name(), name -> new Histogram(3))
                        .recordValue(Math.max(0, served - request.intendedAt));
            }
        }
        return byClass;
    }

    /**
     * The highest number of costs of one kind that one target got from all nodes together within
     * 100 ms.
     */
    public int worst100Ms(Cost cost) {
        Map<String, Integer> counts = new HashMap<>();
        eventLog.costs.stream()
                .filter(p -> p.cost() == cost)
                .forEach(p -> counts.merge(p.target() + "/" + p.at() / STEP, 1, Integer::sum));
        return counts.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    /** The number of server attempts by the end that the server recorded, such as "served". */
    public Map<String, Long> attemptEnds() {
        Map<String, Long> counts = new TreeMap<>();
        eventLog.serverAttempts.forEach(each -> counts.merge(each.end, 1L, Long::sum));
        return counts;
    }
}
