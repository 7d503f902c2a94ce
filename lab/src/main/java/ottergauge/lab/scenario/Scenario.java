// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

import java.util.List;

/**
 * A play as it is written down: a fleet, its load and a timetable of faults. Spans and instants are
 * microseconds, instants from the start of the load.
 */
public record Scenario(
        String name,
        long seed,
        long length,
        List<String> zones,
        Nodes nodes,
        List<ServerKind> servers,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Clients clients,
        List<LoadStep> load,
        Network network,
        Registry registry,
        Platform platform,
        List<Fault> faults) {

    /**
     * The nodes; {@code cores} is the part of a core that each has, kept by stopping and continuing
     * it; {@code firstNodeWeight} is how many times the traffic of the others the first one has.
     */
    public record Nodes(
            int count,
            int memoryMb,
            int sockets,
            double cores,
            double firstNodeWeight,
            boolean peerMessages) {}

    /** Whether a request's running holds a core, or waits on others for part of its time. */
    public record ServerKind(
            String name,
            int count,
            int cores,
            double speed,
            double spread,
            int slots,
            int queue,
            long earlyFull,
            double coldFrom,
            long coldFor,
            int connections,
            long handshakeWork,
            long probeWork,
            double errorRate,
            boolean reports) {}

    /** What a repeat of a request may do. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop repeats of a keyed request together. */
    public enum Group {
        ALL,
        ZONE
    }

    /** A class of requests; {@code work} is the mean time that it holds a core of speed one. */
    public record RequestClass(
            String name,
            double share,
            long work,
            double spread,
            long waitTime,
            long latencyObjective,
            long deadline,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            long window,
            int keys) {}

    /** Who brings requests: its part of the traffic and of the service. */
    public record Tenant(String name, double trafficShare, double capacityShare) {}

    /**
     * What clients do: further tries of a request, the wait before one, the part of them that
     * follows advice on when to come back, the part of the deadline after which a try is given up,
     * and the part of the requests whose client leaves before that.
     */
    public record Clients(
            int maxRetries,
            long retryPause,
            double retryAfterShare,
            double attemptTimeoutFraction,
            boolean marksRetry,
            long noticeDelay,
            double abandonShare) {}

    /** From an instant on, the load as a part of what all servers can do. */
    public record LoadStep(long from, double rate) {}

    /** Times of one way between two processes, beyond what loopback takes. */
    public record Network(long sameZone, long crossZone, long jitter) {}

    /**
     * Discovery: how late it learns, how many calls a second it answers, how long one may wait in
     * turn, and how often a node has to ask that does not watch.
     */
    public record Registry(
            long noticeDelay, double callsPerSecond, long maxQueueTime, long maxPollInterval) {}

    /** What the deployment permits and asks; it becomes the nodes' settings. */
    public record Platform(
            boolean probes,
            boolean cancel,
            boolean retryAfter,
            long maxRetryAfter,
            int maxAttempts,
            boolean reports,
            double probePrice,
            long drainGrace,
            double overloadMultiple,
            long overloadWindow,
            long connectionIdle,
            long connectTimeout,
            long answerSlack) {}

    /** What can go wrong. */
    public enum FaultKind {
        NODE_KILL,
        NODE_TERM,
        NODE_HUP,
        NODE_STALL,
        NODE_CORES,
        SERVER_STALL,
        SERVER_SLOW,
        SERVER_FAIL,
        SERVER_FULL,
        SERVER_KILL,
        SERVER_VANISH,
        SERVER_REPLACE,
        SERVER_DRAIN,
        ANSWERS_LOST,
        LINK_REFUSE,
        LINK_RESET,
        LINK_DROP,
        LINK_DELAY,
        LINK_LOSE,
        LINK_DOUBLE,
        LINK_REORDER,
        LINK_RATE,
        LINK_CUT,
        REGISTRY_AWAY,
        REGISTRY_SLOW,
        REGISTRY_FROZEN,
        REGISTRY_SILENT
    }

    /** Which way of a link is meant: to the side that was connected to, from it, or both. */
    public enum Direction {
        THERE,
        BACK,
        BOTH
    }

    /**
     * A fault and its end. {@code targets} names processes, or is empty for {@code fraction} of
     * them, drawn from the seed; for links {@code targets} is the one side and {@code peers} the
     * other. {@code amount} is the kind's own figure (a factor, a share, bytes), {@code span} its
     * time, {@code jitter} that time's spread.
     */
    public record Fault(
            long at,
            long duration,
            FaultKind faultKind,
            List<String> targets,
            double fraction,
            List<String> peers,
            Direction direction,
            double amount,
            long span,
            long jitter,
            int index) {}

    /** The same with another seed. */
    public Scenario withSeed(long other) {
        return new Scenario(
                name, other, length, zones, nodes, servers, classes, tenants, clients, load,
                network, registry, platform, faults);
    }

    /** Requests a second that all servers together can serve, each busy with nothing else. */
    public double capacity() {
        double cores =
                servers.stream()
                        .mapToDouble(kind -> kind.count() * kind.cores() * kind.speed())
                        .sum();
        return cores * 1e6 / meanWork();
    }

    /** The mean work of a request, in microseconds. */
    public double meanWork() {
        double shares = classes.stream().mapToDouble(RequestClass::share).sum();
        return classes.stream().mapToDouble(type -> type.share() * type.work()).sum() / shares;
    }

    /** The load at an instant, as a part of the capacity. */
    public double rateAt(long at) {
        double rate = 0;
        for (LoadStep step : load) {
            rate = step.from() <= at ? step.rate() : rate;
        }
        return rate;
    }
}
