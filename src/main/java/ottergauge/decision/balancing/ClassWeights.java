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
 * Per-class weight tables and the smooth weighted round-robin over them: Per-Function Auto Weighted
 * Round-Robin. See docs/design.md, "Weighted round-robin".
 *
 * <p>A row of the table belongs to a class, and the last one to all classes. Classes past the
 * bound, and those with too few samples, use the last one.
 */
public final class ClassWeights {

    /** Sum of a row's weights, as far as rounding goes; a full turn of the rotation. */
    public static final int TOTAL_WEIGHT = 1000;

    private static final int MAX_CLASSES = 64;
    // From so many samples for each server a row's means say more than the shared row's.
    private static final int MIN_SAMPLES_PER_SERVER = 3;
    private static final int MIN_WEIGHT = 1;

    private final SplittableRandom random;
    private final ClassIndex classes = new ClassIndex(MAX_CLASSES);
    private boolean[] hasEnoughSamples;
    private long windowsEnded;

    /** Creates a table without classes; rotations start at random positions. */
    public ClassWeights(SplittableRandom random) {
        this.random = random;
    }

    /** Takes other classes. {@link #applyClasses(Server)} must follow for servers with entries. */
    public void applyClasses(Collection<String> names) {
        classes.rename(names);
        hasEnoughSamples = new boolean[classes.shared() + 1];
    }

    /** Lays out a server's entry by the present classes. */
    public void applyClasses(Server server) {
        RotationEntry entry = server.rotation();
        entry.setRows(
                classes.remap(
                        entry.rows(),
                        () -> new ServerStatistics(random.nextDouble() * TOTAL_WEIGHT)));
    }

    /** Returns the index of the classes. */
    public ClassIndex classes() {
        return classes;
    }

    /** Returns the row that a request's latencies count in. */
    public int row(Request request) {
        return classes.of(request.requestClass().name());
    }

    /** Returns the row whose weights a request goes by. */
    public int weightsRow(Request request) {
        int row = row(request);
        return hasEnoughSamples[row] ? row : classes.shared();
    }

    /** Counts a latency, in microseconds, at a server that is still listed. */
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

    /** Brings a server's entry up to date, and creates it if there is none. */
    void prepare(Server server) {
        RotationEntry entry = server.rotation();
        entry.endWindows(windowsEnded);
        if (entry.isEmpty()) {
            applyClasses(server);
        }
    }

    /** Computes the weights of these servers in all rows. */
    void updateWeights(List<Server> servers) {
        for (int row = 0; row <= classes.shared(); row++) {
            updateWeights(servers, row);
        }
    }

    // A weight is the floor of a server's part of the inverse means, times the total.
    private void updateWeights(List<Server> servers, int row) {
        double knownMeans = 0;
        int known = 0;
        int samples = 0;
        for (Server server : servers) {
            ServerStatistics statistics = server.rotation().row(row);
            samples += statistics.evidence();
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

    /** Picks a server: all candidates among these servers advance, and it pays for that. */
    public void commitPick(List<Server> servers, Server picked, int row) {
        int total = 0;
        for (Server server : servers) {
            if (server.rotation().isCandidate()) {
                ServerStatistics statistics = server.rotation().row(row);
                statistics.advance();
                total += statistics.weight();
            }
        }
        picked.rotation().row(row).pay(total);
    }
}
