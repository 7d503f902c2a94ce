// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/**
 * A server's entry in the weight table of one class: its latencies and its state in the smooth
 * weighted round-robin. Latencies are microseconds.
 */
public final class ServerStatistics {

    private double latencySum;
    private int sampleCount;
    private double meanLatency;
    private int evidence;
    private int weight;
    private double currentWeight;

    /** Creates an entry without samples at this position of the rotation. */
    public ServerStatistics(double currentWeight) {
        this.currentWeight = currentWeight;
    }

    /** Counts a latency in the present window. */
    public void recordLatency(long latency) {
        latencySum += latency;
        sampleCount++;
    }

    /** Makes the present window's samples the mean and begins another window. */
    public void endWindow() {
        // Without samples a mean outlives a window for each doubling of the samples in it.
        evidence = sampleCount > 0 ? sampleCount : evidence / 2;
        meanLatency = sampleCount > 0 ? latencySum / sampleCount : evidence > 0 ? meanLatency : 0;
        latencySum = 0;
        sampleCount = 0;
    }

    /** Returns the mean latency of the last window with samples; 0 if it is unknown. */
    public double meanLatency() {
        return meanLatency;
    }

    /** Returns the mean latency, or {@code fallback} if it is unknown. */
    public double meanLatencyOr(double fallback) {
        return meanLatency > 0 ? meanLatency : fallback;
    }

    /** Returns how many samples the mean is worth. */
    public int evidence() {
        return evidence;
    }

    /** Returns the weight that {@link #setWeight} gave. */
    public int weight() {
        return weight;
    }

    /** Sets the weight in the rotation. */
    public void setWeight(int weight) {
        this.weight = weight;
    }

    /** Returns the rank in the next pick: the highest is picked. */
    public double nextRank() {
        return currentWeight + weight;
    }

    /** Adds the weight to the position, as each candidate does at a pick. */
    public void advance() {
        currentWeight += weight;
    }

    /** Pays for a pick with the weight of all of its candidates. */
    public void pay(int totalWeight) {
        currentWeight -= totalWeight;
    }
}
