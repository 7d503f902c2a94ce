// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: runs tasks by their instants, those of one instant in the order scheduled. */
final class SimulatedClock {

    private record Task(long at, long number, Runnable job) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private long now;
    private long lastTask;

    long now() {
        return now;
    }

    /** Runs a task at an instant, or now if that is past. */
    void schedule(long at, Runnable job) {
        tasks.add(new Task(Math.max(now, at), lastTask++, job));
    }

    /** Runs all tasks up to an instant and ends there. */
    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = task.at();
            task.job().run();
        }
        now = end;
    }
}
