// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import java.util.Arrays;
import java.util.List;
import ottergauge.decision.index.ClassIndex;

/**
 * Limits retries to a fraction of the first attempts, for all classes together and for each class.
 * Each first attempt adds a fraction of a token to a token bucket, and each retry takes one token.
 * Under overload most first attempts fail, and unlimited retries would sustain the overload
 * (Google's SRE book, chapter 21; "Metastable failures in the wild", OSDI 2022). The retries for a
 * single failing server among many take fewer tokens than the first attempts add.
 */
public final class RetryBudget {

    /** Maximum ratio of retries to first attempts, as published for client libraries. */
    private static final double RETRY_RATIO = 0.1;

    // The maximum ratio for a single class is higher, because many of the failures of a small class
    // occur at the same time.
    private static final double CLASS_RETRY_RATIO = 0.2;
    // Bucket size and initial number of tokens. It covers the retries that one failing server
    // causes before it is ejected.
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;
    private double[] classTokens;

    /** Creates full buckets for this number of rows of a class index. */
    public RetryBudget(int rows) {
        classTokens = new double[rows];
        Arrays.fill(classTokens, MAX_TOKENS);
    }

    /** Follows a change of the class index. Each row keeps its tokens; a new row starts full. */
    public void applyClasses(ClassIndex classes) {
        List<Double> before = Arrays.stream(classTokens).boxed().toList();
        classTokens =
                classes.remap(before, () -> MAX_TOKENS).stream()
                        .mapToDouble(rowTokens -> rowTokens)
                        .toArray();
    }

    /** Records a first attempt in this row. */
    public void recordFirstAttempt(int row) {
        tokens = Math.min(MAX_TOKENS, tokens + RETRY_RATIO);
        classTokens[row] = Math.min(MAX_TOKENS, classTokens[row] + CLASS_RETRY_RATIO);
    }

    /** Returns whether a retry in this row is permitted now. */
    public boolean permitsRetry(int row) {
        return tokens >= 1 && classTokens[row] >= 1;
    }

    /** Records a retry in this row. */
    public void recordRetry(int row) {
        tokens = Math.max(0, tokens - 1);
        classTokens[row] = Math.max(0, classTokens[row] - 1);
    }

    /** Returns the tokens left in the bucket for all classes together. */
    public double tokens() {
        return tokens;
    }
}
