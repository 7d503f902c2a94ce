// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.client;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.RequestClass;
import ottergauge.lab.scenario.Scenario.Tenant;

/**
 * All requests of a run, drawn from the seed before the run starts, so that they do not depend on
 * what the nodes do.
 */
public final class Workload {

    /**
     * A planned request. {@code followsRetryAfter} says whether its client obeys the Retry-After
     * header. {@code abandonFraction} is the fraction of the timeout after which its client closes
     * the connection, or negative if it does not.
     */
    public record Request(
            int number,
            long at,
            int requestClass,
            int tenant,
            int key,
            long work,
            boolean followsRetryAfter,
            double abandonFraction) {}

    private Workload() {}

    /** Draws all requests of a scenario, in the order of their start times. */
    public static List<Request> draw(Scenario scenario) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(scenario.seed());
        ZigguratSampler.Exponential interArrival = ZigguratSampler.Exponential.of(random);
        List<DoubleSupplier> work = new ArrayList<>();
        for (RequestClass type : scenario.classes()) {
            work.add(work(type, random));
        }
        double[] classes = scenario.classes().stream().mapToDouble(RequestClass::share).toArray();
        double[] tenants = scenario.tenants().stream().mapToDouble(Tenant::trafficShare).toArray();
        UniformRandomProvider abandonRandom =
                RandomSource.XO_SHI_RO_256_PP.create(~scenario.seed());
        List<Request> requests = new ArrayList<>();
        double at = 0;
        while (at < scenario.length()) {
            double rate = scenario.rateAt((long) at) * scenario.capacity();
            if (rate <= 0) {
                at += 1_000;
                continue;
            }
            at += interArrival.sample() * 1e6 / rate;
            int type = pick(classes, random);
            // The square of a uniform draw makes a few keys far more popular than the rest.
            double draw = random.nextDouble();
            int key = (int) (draw * draw * scenario.classes().get(type).keys());
            if (at < scenario.length()) {
                requests.add(
                        new Request(
                                requests.size(),
                                (long) at,
                                type,
                                tenants.length == 0 ? -1 : pick(tenants, random),
                                key,
                                Math.max(100, Math.round(work.get(type).getAsDouble())),
                                random.nextDouble() < scenario.clients().retryAfterShare(),
                                abandonRandom.nextDouble() < scenario.clients().abandonShare()
                                        ? abandonRandom.nextDouble()
                                        : -1));
            }
        }
        return requests;
    }

    // Log-normal with the class's mean and coefficient of variation.
    private static DoubleSupplier work(RequestClass type, UniformRandomProvider random) {
        if (type.spread() == 0) {
            return type::work;
        }
        double variance = Math.log(1 + type.spread() * type.spread());
        LogNormalSampler sampler =
                new LogNormalSampler(
                        ZigguratSampler.NormalizedGaussian.of(random),
                        Math.log((double) type.work()) - variance / 2,
                        Math.sqrt(variance));
        return sampler::sample;
    }

    private static int pick(double[] shares, UniformRandomProvider random) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < shares.length; i++) {
            remaining -= shares[i];
            if (remaining < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}
