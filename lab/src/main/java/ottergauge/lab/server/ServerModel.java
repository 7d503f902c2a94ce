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
     * Work that a server was given; {@code deadline} is the instant at which nobody waits for it any
     * more.
     */
    public static final class Job {
        final long work;
        final long waits;
        final long deadline;
        final Runnable began;
        final Runnable done;
        boolean running;
        boolean withdrawn;

        /** Creates work of {@code work} microseconds, of which {@code waits} need no core. */
        public Job(long work, long waits, long deadline, Runnable began, Runnable done) {
            this.work = work;
            this.waits = waits;
            this.deadline = deadline;
            this.began = began;
            this.done = done;
        }
    }

    /** What becomes of a job that is offered. */
    public enum Offer {
        TAKEN,
        FULL,
        FALLEN
    }

    /** Asks to be told when a job that has begun is over. */
    @FunctionalInterface
    public interface Alarm {
        void at(long instant, Runnable task);
    }

    private record Sent(long at, long work) {}

    // The load that it reports as busy is a mean over so long.
    private static final long BUSY_OVER = 500_000;

    private final ServerKind kind;
    private final double speed;
    private final double tipMultiple;
    private final long fallAfter;
    private final Alarm alarm;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final Deque<Sent> sent = new ArrayDeque<>();
    private long bornAt;
    private double slowness = 1;
    private boolean fallen;
    private long busyAt;
    private double busy;
    private long work;

    /** {@code bornAt} is when it last started; far in the past, it is warm. */
    public ServerModel(
            ServerKind kind,
            double speed,
            long bornAt,
            double tipMultiple,
            long fallAfter,
            Alarm alarm) {
        this.kind = kind;
        this.speed = speed;
        this.bornAt = bornAt;
        this.tipMultiple = tipMultiple;
        this.fallAfter = fallAfter;
        this.alarm = alarm;
        busyAt = bornAt;
    }

    /** Makes it so many times slower than it is. */
    public void slow(double factor) {
        slowness = factor;
    }

    public boolean fallen() {
        return fallen;
    }

    /** The part of its capacity that it has by now. */
    public double warmth(long now) {
        long age = now - bornAt;
        return age >= kind.coldFor()
                ? 1
                : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldFor();
    }

    private double capacity(long now) {
        return kind.cores() * speed * warmth(now) / slowness;
    }

    /** Offers a job; one that is taken runs when a slot is free. */
    public Offer offer(long now, Job job) {
        if (fallen || tips(now, job)) {
            fallen = true;
            return Offer.FALLEN;
        }
        if (running.size() >= kind.slots()
                && (waiting.size() >= kind.queue()
                        || (kind.earlyFull() > 0 && held() / capacity(now) > kind.earlyFull()))) {
            return Offer.FULL;
        }
        waiting.add(job);
        fill(now);
        return Offer.TAKEN;
    }

    private double held() {
        double held = 0;
        for (Job job : waiting) {
            held += job.work;
        }
        for (Job job : running) {
            held += job.work / 2.0;
        }
        return held;
    }

    // What all nodes together sent it in the last while is over the multiple of what it can do now.
    private boolean tips(long now, Job job) {
        if (warmth(now) >= 1) {
            sent.clear();
            return false;
        }
        sent.add(new Sent(now, job.work));
        while (now - sent.peek().at() > fallAfter) {
            sent.poll();
        }
        double offered = sent.stream().mapToLong(Sent::work).sum();
        return offered > tipMultiple * capacity(now) * fallAfter && now - bornAt >= fallAfter;
    }

    private void fill(long now) {
        while (running.size() < kind.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (job.withdrawn || job.deadline <= now) {
                // Nobody waits for it any more: a server drops what has run out of time before it
                // begins.
                if (!job.withdrawn) {
                    job.withdrawn = true;
                    job.done.run();
                }
                continue;
            }
            count(now);
            running.add(job);
            job.running = true;
            double crowd = Math.max(1, running.size() / (double) kind.cores());
            long takes = (long) (job.work / (speed * warmth(now)) * slowness * crowd) + job.waits;
            job.began.run();
            alarm.at(now + takes, () -> finish(now + takes, job));
        }
    }

    private void finish(long now, Job job) {
        if (running.contains(job)) {
            count(now);
            running.remove(job);
            work += job.work;
            job.done.run();
            fill(now);
        }
    }

    /** Nobody waits for a job any more: it is dropped if it has not begun, else it runs on. */
    public void withdraw(Job job) {
        if (!job.running) {
            job.withdrawn = true;
            waiting.remove(job);
        }
    }

    /** It dies: all that it holds is gone; gives back what that was. */
    public List<Job> die() {
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        sent.clear();
        return lost;
    }

    /** It starts again, cold. */
    public void start(long now) {
        die();
        bornAt = now;
        fallen = false;
        busy = 0;
        busyAt = now;
    }

    private void count(long now) {
        double part = Math.min(1, running.size() / (double) kind.cores());
        double old = Math.exp(-(now - busyAt) / (double) BUSY_OVER);
        busy = busy * old + part * (1 - old);
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
        count(now);
        return busy;
    }

    /** All work that it has finished, in microseconds of a core of speed one. */
    public long workDone() {
        return work;
    }
}
