// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time. Runs tasks in the order of their times; tasks with the same time run in the order
 * in which they were scheduled.
 */
final class SimulatedClock {

    private record Task(long at, long number, Runnable job) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private long now;
    private long lastTask;

    long now() {
        return now;
    }

    /** Schedules a task at a time, or at the current time if that time is in the past. */
    void schedule(long at, Runnable job) {
        tasks.add(new Task(Math.max(now, at), lastTask++, job));
    }

    /** Runs all tasks up to a time and sets the clock to that time. */
    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = task.at();
            task.job().run();
        }
        now = end;
    }
}
