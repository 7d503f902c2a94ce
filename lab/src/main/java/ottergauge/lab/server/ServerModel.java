// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ottergauge.lab.scenario.Scenario.ServerKind;

/**
 * A model of a server, without sockets or a clock. Requests wait in a bounded queue for one of a
 * limited number of slots, and run in it. Each running request needs a core for its work; if more
 * requests run than there are cores, all of them take longer in proportion. The server starts cold,
 * and collapses if it gets far more work than it can do while it is cold.
 */
public final class ServerModel {

    /** Work given to a server; {@code deadline} is the time after which no client waits for it. */
    public static final class Job {
        final long work;
        final long waitTime;
        final long deadline;
        final Runnable onStart;
        final Runnable onDone;
        boolean running;
        boolean cancelled;

        /**
         * Creates a job of {@code work} microseconds on a core plus {@code waitTime} microseconds
         * without one.
         */
        public Job(long work, long waitTime, long deadline, Runnable onStart, Runnable onDone) {
            this.work = work;
            this.waitTime = waitTime;
            this.deadline = deadline;
            this.onStart = onStart;
            this.onDone = onDone;
        }
    }

    /** The response to an offered job. */
    public enum Admission {
        ACCEPTED,
        FULL,
        COLLAPSED
    }

    /** Schedules a task at a time. */
    @FunctionalInterface
    public interface Timer {
        void at(long instant, Runnable task);
    }

    private record OfferedWork(long at, long work) {}

    // Time constant of the exponentially weighted mean that is the reported utilization, in
    // microseconds.
    private static final long BUSY_TIME_CONSTANT = 500_000;

    private final ServerKind kind;
    private final double speed;
    private final double overloadMultiple;
    private final long overloadWindow;
    private final Timer timer;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final Deque<OfferedWork> recentWork = new ArrayDeque<>();
    private long startedAt;
    private double slowdown = 1;
    private boolean collapsed;
    private long busyAt;
    private double busy;
    private long work;

    /**
     * {@code startedAt} is when the server last started. A server that started {@code
     * kind.coldFor()} ago or earlier is warm.
     */
    public ServerModel(
            ServerKind kind,
            double speed,
            long startedAt,
            double overloadMultiple,
            long overloadWindow,
            Timer timer) {
        this.kind = kind;
        this.speed = speed;
        this.startedAt = startedAt;
        this.overloadMultiple = overloadMultiple;
        this.overloadWindow = overloadWindow;
        this.timer = timer;
        busyAt = startedAt;
    }

    /** Makes the server slower by this factor. */
    public void slow(double factor) {
        slowdown = factor;
    }

    public boolean collapsed() {
        return collapsed;
    }

    /** The fraction of its full capacity that the server has reached while warming up. */
    public double warmUpFraction(long now) {
        long age = now - startedAt;
        return age >= kind.coldFor()
                ? 1
                : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldFor();
    }

    private double capacity(long now) {
        return kind.cores() * speed * warmUpFraction(now) / slowdown;
    }

    /** Offers a job; if accepted, it runs when a slot is free. */
    public Admission offer(long now, Job job) {
        if (collapsed || overloadsWhileCold(now, job)) {
            collapsed = true;
            return Admission.COLLAPSED;
        }
        if (running.size() >= kind.slots()
                && (waiting.size() >= kind.queue()
                        || (kind.earlyFull() > 0
                                && heldWork() / capacity(now) > kind.earlyFull()))) {
            return Admission.FULL;
        }
        waiting.add(job);
        startWaiting(now);
        return Admission.ACCEPTED;
    }

    private double heldWork() {
        double heldWork = 0;
        for (Job job : waiting) {
            heldWork += job.work;
        }
        for (Job job : running) {
            heldWork += job.work / 2.0;
        }
        return heldWork;
    }

    // Whether the server is cold, has run for at least the overload window, and was offered more
    // work by all nodes within that window than the given multiple of its current capacity.
    private boolean overloadsWhileCold(long now, Job job) {
        if (warmUpFraction(now) >= 1) {
            recentWork.clear();
            return false;
        }
        recentWork.add(new OfferedWork(now, job.work));
        while (now - recentWork.peek().at() > overloadWindow) {
            recentWork.poll();
        }
        double offered = recentWork.stream().mapToLong(OfferedWork::work).sum();
        return offered > overloadMultiple * capacity(now) * overloadWindow
                && now - startedAt >= overloadWindow;
    }

    private void startWaiting(long now) {
        while (running.size() < kind.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (job.cancelled || job.deadline <= now) {
                // A job that has passed its deadline is dropped before it starts.
                if (!job.cancelled) {
                    job.cancelled = true;
                    job.onDone.run();
                }
                continue;
            }
            updateBusy(now);
            running.add(job);
            job.running = true;
            double slotsPerCore = Math.max(1, running.size() / (double) kind.cores());
            long runTime =
                    (long) (job.work / (speed * warmUpFraction(now)) * slowdown * slotsPerCore)
                            + job.waitTime;
            job.onStart.run();
            timer.at(now + runTime, () -> finish(now + runTime, job));
        }
    }

    private void finish(long now, Job job) {
        if (running.contains(job)) {
            updateBusy(now);
            running.remove(job);
            work += job.work;
            job.onDone.run();
            startWaiting(now);
        }
    }

    /**
     * Cancels a job that no client waits for: it is dropped if it has not started, else it runs to
     * its end.
     */
    public void cancel(Job job) {
        if (!job.running) {
            job.cancelled = true;
            waiting.remove(job);
        }
    }

    /** Drops all jobs and returns them. */
    public List<Job> crash() {
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        recentWork.clear();
        return lost;
    }

    /** Starts the server again, cold. */
    public void start(long now) {
        crash();
        startedAt = now;
        collapsed = false;
        busy = 0;
        busyAt = now;
    }

    private void updateBusy(long now) {
        double busyFraction = Math.min(1, running.size() / (double) kind.cores());
        double decay = Math.exp(-(now - busyAt) / (double) BUSY_TIME_CONSTANT);
        busy = busy * decay + busyFraction * (1 - decay);
        busyAt = now;
    }

    public int inFlight() {
        return running.size() + waiting.size();
    }

    public int queued() {
        return waiting.size();
    }

    /** The busy fraction of the cores, as an exponentially weighted mean. */
    public double utilization(long now) {
        updateBusy(now);
        return busy;
    }

    /** The total work finished, in microseconds on a core of speed 1. */
    public long workDone() {
        return work;
    }
}
