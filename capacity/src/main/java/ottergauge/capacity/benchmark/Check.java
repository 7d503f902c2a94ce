// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

/** Checks the results of benchmarked code: a wrong result fails the run. */
final class Check {

    private Check() {}

    static void equal(long expected, long found) {
        if (expected != found) {
            throw new IllegalStateException("expected " + expected + ", found " + found);
        }
    }
}
