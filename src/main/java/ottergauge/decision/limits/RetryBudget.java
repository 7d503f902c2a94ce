// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import java.util.Arrays;
import java.util.List;
import ottergauge.decision.index.ClassIndex;

/**
 * Limits retries to a part of the first attempts, over all classes and by class: a token bucket to
 * which each first attempt adds a part of a token, and from which each retry takes one. Under
 * overload most first attempts fail, and unlimited retries would sustain it (Google's SRE book,
 * chapter 21; "Metastable failures in the wild", OSDI 2022). One failing server of many spends less
 * than comes in.
 */
public final class RetryBudget {

    /** Retries for each first attempt, as published for client libraries. */
    private static final double RETRY_RATIO = 0.1;

    // A class may have more than its part of all: a small one's failures come in clusters.
    private static final double CLASS_RETRY_RATIO = 0.2;
    // A full bucket, as at the start: what one failing server costs before it is ejected.
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;
    private double[] classTokens;

    /** Creates full buckets for so many rows of a class index. */
    public RetryBudget(int rows) {
        classTokens = new double[rows];
        Arrays.fill(classTokens, MAX_TOKENS);
    }

    /** Follows a change of the class index: each row keeps its tokens, a new one begins full. */
    public void applyClasses(ClassIndex classes) {
        List<Double> before = Arrays.stream(classTokens).boxed().toList();
        classTokens =
                classes.remap(before, () -> MAX_TOKENS).stream()
                        .mapToDouble(each -> each)
                        .toArray();
    }

    /** Counts a first attempt of this row. */
    public void recordFirstAttempt(int row) {
        tokens = Math.min(MAX_TOKENS, tokens + RETRY_RATIO);
        classTokens[row] = Math.min(MAX_TOKENS, classTokens[row] + CLASS_RETRY_RATIO);
    }

    /** Whether a retry of this row is permitted now. */
    public boolean permitsRetry(int row) {
        return tokens >= 1 && classTokens[row] >= 1;
    }

    /** Counts a retry of this row. */
    public void recordRetry(int row) {
        tokens = Math.max(0, tokens - 1);
        classTokens[row] = Math.max(0, classTokens[row] - 1);
    }

    /** Returns the tokens that are left for all classes. */
    public double tokens() {
        return tokens;
    }
}
