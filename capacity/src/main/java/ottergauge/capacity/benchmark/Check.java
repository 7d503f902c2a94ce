// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

/** Checks of what a benchmark measures: a run whose result is wrong fails. */
final class Check {

    private Check() {}

    static void equal(long expected, long found) {
        if (expected != found) {
            throw new IllegalStateException("expected " + expected + ", found " + found);
        }
    }
}
