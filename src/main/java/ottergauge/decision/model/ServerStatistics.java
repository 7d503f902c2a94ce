// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/**
 * A server's entry in one row of the weight table: its latencies and its state in the smooth
 * weighted round-robin. Latencies are in microseconds.
 */
public final class ServerStatistics {

    private double latencySum;
    private int sampleCount;
    private double meanLatency;
    private int effectiveSampleCount;
    private int weight;
    private double currentWeight;

    /** Creates an entry without samples that starts with this current weight. */
    public ServerStatistics(double currentWeight) {
        this.currentWeight = currentWeight;
    }

    /** Records a latency in the current window. */
    public void recordLatency(long latency) {
        latencySum += latency;
        sampleCount++;
    }

    /** Computes the mean of the current window's samples and starts the next window. */
    public void endWindow() {
        // A window without samples halves the sample count of the mean. The mean is kept until the
        // count reaches 0.
        effectiveSampleCount = sampleCount > 0 ? sampleCount : effectiveSampleCount / 2;
        meanLatency =
                sampleCount > 0
                        ? latencySum / sampleCount
                        : effectiveSampleCount > 0 ? meanLatency : 0;
        latencySum = 0;
        sampleCount = 0;
    }

    /** Returns the mean latency of the last window with samples, or 0 if it is unknown. */
    public double meanLatency() {
        return meanLatency;
    }

    /** Returns the mean latency, or {@code fallback} if it is unknown. */
    public double meanLatencyOr(double fallback) {
        return meanLatency > 0 ? meanLatency : fallback;
    }

    /** Returns the number of samples behind the mean, halved for each window without samples. */
    public int effectiveSampleCount() {
        return effectiveSampleCount;
    }

    /** Returns the weight that was set by {@link #setWeight}. */
    public int weight() {
        return weight;
    }

    /** Sets the weight in the round-robin. */
    public void setWeight(int weight) {
        this.weight = weight;
    }

    /** Returns the rank in the next selection. The candidate of the highest rank is selected. */
    public double nextRank() {
        return currentWeight + weight;
    }

    /** Adds the weight to the current weight, which happens to each candidate of a selection. */
    public void advance() {
        currentWeight += weight;
    }

    /** Subtracts the total weight of all candidates after this server was selected. */
    public void subtractTotalWeight(int totalWeight) {
        currentWeight -= totalWeight;
    }
}
