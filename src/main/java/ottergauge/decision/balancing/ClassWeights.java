// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.balancing;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.index.ClassIndex;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.RotationEntry;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerStatistics;

/**
 * Per-class weight tables and the smooth weighted round-robin that uses them (Per-Function Auto
 * Weighted Round-Robin). See docs/design.md, "Weighted round-robin".
 *
 * <p>Each row of the table belongs to one request class, except the last row, which all classes
 * share. Classes beyond the maximum number of rows and classes with too few samples use the shared
 * row.
 */
public final class ClassWeights {

    /**
     * Sum of a row's weights before rounding. It is about the number of selections in one round of
     * the round-robin.
     */
    public static final int TOTAL_WEIGHT = 1000;

    private static final int MAX_CLASSES = 64;
    // From this mean number of samples per server on, a class uses its own row, whose means are
    // then more accurate for the class than those of the shared row.
    private static final int MIN_SAMPLES_PER_SERVER = 3;
    private static final int MIN_WEIGHT = 1;

    private final SplittableRandom random;
    private final ClassIndex classes = new ClassIndex(MAX_CLASSES);
    private boolean[] hasEnoughSamples;
    private long windowsEnded;

    /** Creates a table without classes. Servers start at random positions of the round-robin. */
    public ClassWeights(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Replaces the classes. {@link #applyClasses(Server)} must then be called for each server with
     * entries.
     */
    public void applyClasses(Collection<String> names) {
        classes.rename(names);
        hasEnoughSamples = new boolean[classes.shared() + 1];
    }

    /** Rearranges a server's entry to match the current classes. */
    public void applyClasses(Server server) {
        RotationEntry entry = server.rotation();
        entry.setRows(
                classes.remap(
                        entry.rows(),
                        () -> new ServerStatistics(random.nextDouble() * TOTAL_WEIGHT)));
    }

    /** Returns the index that assigns a row of the table to each class. */
    public ClassIndex classes() {
        return classes;
    }

    /** Returns the row in which a request's latencies are recorded. */
    public int row(Request request) {
        return classes.of(request.requestClass().name());
    }

    /** Returns the row whose weights apply to a request. */
    public int weightsRow(Request request) {
        int row = row(request);
        return hasEnoughSamples[row] ? row : classes.shared();
    }

    /** Records a latency in microseconds. Servers that are no longer listed are ignored. */
    public void recordLatency(Server server, int row, long latency) {
        if (server.state() == EndpointState.REMOVED) {
            return;
        }
        RotationEntry entry = server.rotation();
        entry.endWindows(windowsEnded);
        entry.row(row).recordLatency(latency);
        if (row != classes.shared()) {
            entry.row(classes.shared()).recordLatency(latency);
        }
    }

    /** Ends a measurement window. */
    public void endWindow() {
        windowsEnded++;
    }

    /** Brings a server's entry up to date, or creates it if there is none. */
    void prepare(Server server) {
        RotationEntry entry = server.rotation();
        entry.endWindows(windowsEnded);
        if (entry.isEmpty()) {
            applyClasses(server);
        }
    }

    /** Computes the weights of these servers in every row. */
    void updateWeights(List<Server> servers) {
        for (int row = 0; row <= classes.shared(); row++) {
            updateWeights(servers, row);
        }
    }

    // Each weight is proportional to the inverse of the server's mean latency, rounded down, and at
    // least MIN_WEIGHT.
    private void updateWeights(List<Server> servers, int row) {
        double knownMeans = 0;
        int known = 0;
        int samples = 0;
        for (Server server : servers) {
            ServerStatistics statistics = server.rotation().row(row);
            samples += statistics.effectiveSampleCount();
            knownMeans += statistics.meanLatency();
            known += statistics.meanLatency() > 0 ? 1 : 0;
        }
        hasEnoughSamples[row] = samples >= MIN_SAMPLES_PER_SERVER * servers.size();
        double fallback = known > 0 ? knownMeans / known : 1;
        double inverseSum = 0;
        for (Server server : servers) {
            inverseSum += 1 / server.rotation().row(row).meanLatencyOr(fallback);
        }
        for (Server server : servers) {
            ServerStatistics statistics = server.rotation().row(row);
            double share = 1 / statistics.meanLatencyOr(fallback) / inverseSum;
            statistics.setWeight(Math.max(MIN_WEIGHT, (int) (share * TOTAL_WEIGHT)));
        }
    }

    /**
     * Advances the smooth weighted round-robin: each candidate's weight is added to its current
     * weight, and their total is subtracted from that of the selected server.
     */
    public void commitPick(List<Server> servers, Server picked, int row) {
        int total = 0;
        for (Server server : servers) {
            if (server.rotation().isCandidate()) {
                ServerStatistics statistics = server.rotation().row(row);
                statistics.advance();
                total += statistics.weight();
            }
        }
        picked.rotation().row(row).subtractTotalWeight(total);
    }
}
