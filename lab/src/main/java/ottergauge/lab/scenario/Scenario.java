// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

import java.util.List;

/**
 * A scenario: nodes, servers, their load and a schedule of faults. Durations and times are
 * microseconds; times count from the start of the load. {@link ScenarioReader} has the key of each
 * component in the scenario file.
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
     * The nodes. {@code cores} is the fraction of a core that each node has, enforced by stopping
     * and continuing it. {@code firstNodeWeight} is the traffic of the first node as a multiple of
     * that of each other node.
     */
    public record Nodes(
            int count,
            int memoryMb,
            int sockets,
            double cores,
            double firstNodeWeight,
            boolean peerMessages) {}

    /**
     * A kind of servers: how many there are and how fast they work, what they accept, how they warm
     * up, and what connections and probes cost. {@code earlyFull} is the backlog in microseconds
     * above which a server rejects requests although its queue is not full; 0 for none.
     */
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

    /**
     * What a repeat of a request does: it is harmless, it is deduplicated by its idempotency key,
     * or it repeats the effect.
     */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * Which servers share the idempotency keys that they have seen: all servers, or those of one
     * zone.
     */
    public enum Group {
        ALL,
        ZONE
    }

    /**
     * A class of requests; {@code work} is the mean time for which a request occupies a core of
     * speed 1, {@code waitTime} the time that it runs in addition without using a core.
     */
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

    /** A tenant: its share of the traffic and its share of the capacity. */
    public record Tenant(String name, double trafficShare, double capacityShare) {}

    /**
     * How clients behave: the number of retries and the pause before each, the share of clients
     * that obey Retry-After, the fraction of the deadline after which an attempt times out, whether
     * retries are marked as such, how late the front end notices that a node does not respond, and
     * the share of requests whose client closes its connection before the timeout.
     */
    public record Clients(
            int maxRetries,
            long retryPause,
            double retryAfterShare,
            double attemptTimeoutFraction,
            boolean marksRetry,
            long noticeDelay,
            double abandonShare) {}

    /** The load from the time {@code from} on, as a fraction of the capacity of all servers. */
    public record LoadStep(long from, double rate) {}

    /**
     * One-way latencies between a node and a server in the same zone or in another one, and their
     * jitter, in addition to those of loopback.
     */
    public record Network(long sameZone, long crossZone, long jitter) {}

    /**
     * Discovery: how late it learns of changes, how many calls it handles per second, how long a
     * call may queue, and the longest interval between two polls of a node that has no open watch.
     */
    public record Registry(
            long noticeDelay, double callsPerSecond, long maxQueueTime, long maxPollInterval) {}

    /** What the deployment permits and requires; it becomes the nodes' settings. */
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

    /** The kinds of faults. Scenario files have these names in lower case with hyphens. */
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

    /**
     * The direction of a link that a fault affects: towards the side that accepts connections, from
     * it, or both.
     */
    public enum Direction {
        THERE,
        BACK,
        BOTH
    }

    /**
     * A fault and how long it lasts. {@code targets} names processes; if empty, {@code fraction} of
     * them are chosen at random from the seed. For links, {@code targets} is one side and {@code
     * peers} the other. {@code amount} is a figure whose meaning depends on the kind (a factor, a
     * share, bytes), {@code span} a duration and {@code jitter} its spread.
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

    /** Returns this scenario with another seed. */
    public Scenario withSeed(long other) {
        return new Scenario(
                name, other, length, zones, nodes, servers, classes, tenants, clients, load,
                network, registry, platform, faults);
    }

    /** The requests per second that all servers together can serve if they do nothing else. */
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

    /** The load at a time, as a fraction of the capacity. */
    public double rateAt(long at) {
        double rate = 0;
        for (LoadStep step : load) {
            rate = step.from() <= at ? step.rate() : rate;
        }
        return rate;
    }
}
