// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import java.util.Arrays;
import java.util.List;
import ottergauge.decision.index.ClassIndex;

/**
 * How many further attempts a node makes: a part of its first ones, over all classes and by class.
 * Each first attempt puts a part of a token in, each further one takes a token out; at most so many
 * are kept. Under overload most first attempts fail, and what the budget holds back would sustain
 * it (Google's SRE book, chapter 21; "Metastable failures in the wild", OSDI 2022). One server of
 * many that fails spends less than comes in.
 */
public final class RetryBudget {

    /** The part of first attempts that may be made again, as published for client libraries. */
    private static final double PART = 0.1;

    // A class may have more than its part of what all may: a small one's failures come in clusters.
    private static final double CLASS_PART = 0.2;
    // Tokens that are kept, and there at the start: what a single failing server costs before it is
    // barred.
    private static final double MOST = 10;

    private double tokens = MOST;
    private double[] byClass;

    public RetryBudget(int classes) {
        byClass = new double[classes];
        Arrays.fill(byClass, MOST);
    }

    /** The classes are other ones: each row keeps what it had, a new one begins full. */
    public void layOut(ClassIndex rows) {
        List<Double> before = Arrays.stream(byClass).boxed().toList();
        byClass = rows.lay(before, () -> MOST).stream().mapToDouble(tokens -> tokens).toArray();
    }

    /** A first attempt has been made. */
    public void first(int requestClass) {
        tokens = Math.min(MOST, tokens + PART);
        byClass[requestClass] = Math.min(MOST, byClass[requestClass] + CLASS_PART);
    }

    /** Whether a further attempt may be made now. */
    public boolean allows(int requestClass) {
        return tokens >= 1 && byClass[requestClass] >= 1;
    }

    /** A further attempt has been made. */
    public void again(int requestClass) {
        tokens = Math.max(0, tokens - 1);
        byClass[requestClass] = Math.max(0, byClass[requestClass] - 1);
    }

    /** The tokens left for all classes. */
    public double left() {
        return tokens;
    }
}
