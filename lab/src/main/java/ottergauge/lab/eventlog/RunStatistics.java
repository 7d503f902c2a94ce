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
import ottergauge.lab.eventlog.EventLog.Ask;
import ottergauge.lab.eventlog.EventLog.Attempt;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.eventlog.EventLog.CostEntry;
import ottergauge.lab.eventlog.EventLog.Try;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.LoadStep;
import ottergauge.lab.scenario.Scenario.RequestClass;

/** What a play comes to, summed over all nodes from the ledger. */
public final class RunStatistics {

    /** How a request ended, its further tries included. */
    public enum End {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    /**
     * A span of the play. {@code worth} is the part of the offered worth that was served in time,
     * {@code ideal} the part that an order which knows all could serve, {@code inverted} the part
     * of the requests that were served, or refused, while one of higher or lower worth was the
     * other.
     */
    public record Span(
            long from,
            long to,
            @JsonProperty("asks") int asks,
            double worth,
            double ideal,
            double refused,
            double failed,
            @JsonProperty("triesPerAsk") double triesPerAsk,
            @JsonProperty("attemptsPerAsk") double attemptsPerAsk,
            double inverted,
            double probesPerServer,
            double handshakesPerServer,
            @JsonProperty("probesPerAsk") double probesPerAsk,
            double turnedAway,
            double busiestProbes) {}

    /** One second of the play. */
    public record Second(
            int second,
            int offered,
            int inTime,
            int late,
            int refused,
            int failed,
            @JsonProperty("tries") int tries,
            @JsonProperty("attempts") int attempts,
            int probes,
            int handshakes,
            int listCalls,
            int turnedAway) {}

    private static final long SECOND = 1_000_000;
    private static final long STEP = 100_000;
    private static final double FULL = 0.95;
    private static final int REFUSED = 503;
    private static final int TOO_MANY = 429;

    private final Scenario scenario;
    private final EventLog eventLog;
    private final Map<Ask, End> ends = new HashMap<>();

    /** Prepares the figures of one run. */
    public RunStatistics(Scenario scenario, EventLog eventLog) {
        this.scenario = scenario;
        this.eventLog = eventLog;
        eventLog.asks.forEach(ask -> ends.put(ask, end(ask)));
    }

    private RequestClass type(Ask ask) {
        return scenario.classes().get(ask.requestClass);
    }

    private End end(Ask ask) {
        long served = ask.servedAt();
        RequestClass type = type(ask);
        if (served >= 0 && served <= ask.intendedAt + type.deadline()) {
            return served <= ask.intendedAt + type.aim() ? End.IN_TIME : End.LATE;
        }
        Try last = ask.tries.isEmpty() ? null : ask.tries.get(ask.tries.size() - 1);
        return last != null && (last.status == REFUSED || last.status == TOO_MANY)
                ? End.REFUSED
                : End.FAILED;
    }

    public End endOf(Ask ask) {
        return ends.get(ask);
    }

    private double earned(Ask ask) {
        return switch (ends.get(ask)) {
            case IN_TIME -> type(ask).worth();
            case LATE -> type(ask).worth() * type(ask).lateWorth();
            default -> 0;
        };
    }

    /** The figures of the requests that were due in a span, and of what was paid in it. */
    public Span span(long from, long to) {
        List<Ask> asks =
                eventLog.asks.stream()
                        .filter(a -> a.intendedAt >= from && a.intendedAt < to)
                        .toList();
        double offered = asks.stream().mapToDouble(ask -> type(ask).worth()).sum();
        double earned = asks.stream().mapToDouble(this::earned).sum();
        double tries = asks.stream().mapToInt(ask -> ask.tries.size()).sum();
        double attempts =
                asks.stream()
                        .flatMap(ask -> ask.tries.stream())
                        .mapToInt(t -> t.attempts.size())
                        .sum();
        int servers = scenario.servers().stream().mapToInt(Scenario.ServerKind::count).sum();
        double seconds = (to - from) / (double) SECOND;
        int count = Math.max(1, asks.size());
        return new Span(
                from,
                to,
                asks.size(),
                offered == 0 ? 1 : earned / offered,
                offered == 0 ? 1 : ideal(asks, from, to) / offered,
                share(asks, End.REFUSED),
                share(asks, End.FAILED),
                tries / count,
                attempts / count,
                inverted(asks),
                costs(Cost.PROBE, from, to) / servers / seconds,
                costs(Cost.HANDSHAKE, from, to) / servers / seconds,
                costs(Cost.PROBE, from, to) / count,
                costs(Cost.TURNED_AWAY, from, to) / Math.max(1, attempts),
                busiestProbes(from, to));
    }

    private double share(List<Ask> asks, End end) {
        return asks.stream().filter(ask -> ends.get(ask) == end).count()
                / (double) Math.max(1, asks.size());
    }

    private double costs(Cost cost, long from, long to) {
        return eventLog.costs.stream()
                .filter(p -> p.cost() == cost && p.at() >= from && p.at() < to)
                .count();
    }

    // The most probes that one server got in one second.
    private double busiestProbes(long from, long to) {
        Map<String, Integer> bySecond = new HashMap<>();
        for (CostEntry each : eventLog.costs) {
            if (each.cost() == Cost.PROBE && each.at() >= from && each.at() < to) {
                bySecond.merge(each.target() + "/" + each.at() / SECOND, 1, Integer::sum);
            }
        }
        return bySecond.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    // Filled greedily by worth for the work, with all that the servers can do in the span and one
    // aim more.
    private double ideal(List<Ask> asks, long from, long to) {
        long aim = scenario.classes().stream().mapToLong(RequestClass::aim).max().orElse(0);
        double left =
                scenario.servers().stream()
                                .mapToDouble(kind -> kind.count() * kind.cores() * kind.speed())
                                .sum()
                        * (to - from + aim);
        double worth = 0;
        List<Ask> byWorth =
                asks.stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        (Ask ask) -> -type(ask).worth() / ask.work))
                        .toList();
        for (Ask ask : byWorth) {
            if (left < ask.work) {
                break;
            }
            left -= ask.work;
            worth += type(ask).worth();
        }
        return worth;
    }

    // In each second: the requests that changed places with one of another worth for its work.
    private double inverted(List<Ask> asks) {
        Map<Long, List<Ask>> bySecond = new TreeMap<>();
        asks.forEach(
                ask ->
                        bySecond.computeIfAbsent(ask.intendedAt / SECOND, s -> new ArrayList<>())
                                .add(ask));
        double inverted = 0;
        for (List<Ask> second : bySecond.values()) {
            int best = 0;
            for (RequestClass low : scenario.classes()) {
                long lowServed =
                        second.stream()
                                .filter(
                                        ask ->
                                                type(ask).equals(low)
                                                        && ends.get(ask) == End.IN_TIME)
                                .count();
                long highRefused =
                        second.stream()
                                .filter(
                                        ask ->
                                                ends.get(ask) == End.REFUSED
                                                        && density(type(ask)) > density(low))
                                .count();
                best = Math.max(best, (int) Math.min(lowServed, highRefused));
            }
            inverted += best;
        }
        return inverted / Math.max(1, asks.size());
    }

    private static double density(RequestClass type) {
        return type.worth() / type.work();
    }

    /**
     * How long after an instant service is back: until the first second from which on, for three
     * seconds, 0.95 of the part of worth that was served in time before {@code before} is; -1 if it
     * never is.
     */
    public long backAfter(long before, long after, int seconds) {
        double full = FULL * span(Math.min(SECOND, before / 2), before).worth();
        for (long from = after; from + seconds * SECOND <= scenario.length(); from += STEP) {
            boolean back = true;
            for (int i = 0; i < seconds && back; i++) {
                back = span(from + i * SECOND, from + (i + 1) * SECOND).worth() >= full;
            }
            if (back) {
                return from - after;
            }
        }
        return -1;
    }

    /** The spans of the load's steps. */
    public List<Span> steps() {
        List<Span> spans = new ArrayList<>();
        List<LoadStep> steps = scenario.load();
        for (int i = 0; i < steps.size(); i++) {
            spans.add(
                    span(
                            steps.get(i).from(),
                            i + 1 < steps.size() ? steps.get(i + 1).from() : scenario.length()));
        }
        return spans;
    }

    /** Returns the figures of each second of the run. */
    @SuppressWarnings("EnumOrdinal") // Columns 1 to 4 stand in the order of End.
    public List<Second> seconds() {
        int count = (int) ((scenario.length() + SECOND - 1) / SECOND);
        int[][] n = new int[count][11];
        for (Ask ask : eventLog.asks) {
            int second = (int) (ask.intendedAt / SECOND);
            n[second][0]++;
            n[second][1 + ends.get(ask).ordinal()]++;
            n[second][5] += ask.tries.size();
        }
        for (Attempt each : eventLog.attempts) {
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

    /** Times from the intended send to the answer that served, by class, in microseconds. */
    public Map<String, Histogram> latencies() {
        Map<String, Histogram> byClass = new TreeMap<>();
        for (Ask ask : eventLog.asks) {
            long served = ask.servedAt();
            if (served >= 0) {
                byClass.computeIfAbsent(type(ask).name(), name -> new Histogram(3))
                        .recordValue(Math.max(0, served - ask.intendedAt));
            }
        }
        return byClass;
    }

    /**
     * How many first sends, or probes and the like, each target got from all nodes in its worst 100
     * ms.
     */
    public int worstTenth(Cost cost) {
        Map<String, Integer> counts = new HashMap<>();
        eventLog.costs.stream()
                .filter(p -> p.cost() == cost)
                .forEach(p -> counts.merge(p.target() + "/" + p.at() / STEP, 1, Integer::sum));
        return counts.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    /** How attempts ended, by what the servers say. */
    public Map<String, Long> attemptEnds() {
        Map<String, Long> counts = new TreeMap<>();
        eventLog.attempts.forEach(each -> counts.merge(each.end, 1L, Long::sum));
        return counts;
    }
}
