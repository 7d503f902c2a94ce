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
 * How a server works, without a socket or a clock: requests run in slots, as many at once as it
 * has, and wait in a bounded room before that. Of what runs, each holds a core for its work; with
 * more than cores of them all take so much longer. It starts cold and falls over if far more is
 * sent to it than it can do.
 */
public final class ServerModel {

    /**
     * Work that a server was given; {@code deadline} is the instant at which nobody waits for it
     * any more.
     */
    public static final class Job {
        final long work;
        final long waitTime;
        final long deadline;
        final Runnable onStart;
        final Runnable onDone;
        boolean running;
        boolean cancelled;

        /** Creates work of {@code work} microseconds, of which {@code waitTime} need no core. */
        public Job(long work, long waitTime, long deadline, Runnable onStart, Runnable onDone) {
            this.work = work;
            this.waitTime = waitTime;
            this.deadline = deadline;
            this.onStart = onStart;
            this.onDone = onDone;
        }
    }

    /** What becomes of a job that is offered. */
    public enum Admission {
        ACCEPTED,
        FULL,
        COLLAPSED
    }

    /** Asks to be told when a job that has begun is over. */
    @FunctionalInterface
    public interface Timer {
        void at(long instant, Runnable task);
    }

    private record OfferedWork(long at, long work) {}

    // The load that it reports as busy is a mean over so long.
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

    /** {@code startedAt} is when it last started; far in the past, it is warm. */
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

    /** Makes it so many times slower than it is. */
    public void slow(double factor) {
        slowdown = factor;
    }

    public boolean collapsed() {
        return collapsed;
    }

    /** The part of its capacity that it has by now. */
    public double warmUpFraction(long now) {
        long age = now - startedAt;
        return age >= kind.coldFor()
                ? 1
                : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldFor();
    }

    private double capacity(long now) {
        return kind.cores() * speed * warmUpFraction(now) / slowdown;
    }

    /** Offers a job; one that is taken runs when a slot is free. */
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

    // What all nodes together sent it in the last while is over the multiple of what it can do now.
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
                // Nobody waits for it any more: a server drops what has run out of time before it
                // begins.
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

    /** Nobody waits for a job any more: it is dropped if it has not begun, else it runs on. */
    public void cancel(Job job) {
        if (!job.running) {
            job.cancelled = true;
            waiting.remove(job);
        }
    }

    /** It dies: all that it holds is gone; gives back what that was. */
    public List<Job> crash() {
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        recentWork.clear();
        return lost;
    }

    /** It starts again, cold. */
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

    /** The busy part of its cores, as a mean over a while. */
    public double utilization(long now) {
        updateBusy(now);
        return busy;
    }

    /** All work that it has finished, in microseconds of a core of speed one. */
    public long workDone() {
        return work;
    }
}
