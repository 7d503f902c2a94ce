// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ottergauge.capacity.node.NodeProcess;
import ottergauge.capacity.standin.ServerStandIn;
import ottergauge.protocol.Address;

class OpenLoopClientTest {

    private static final long TIMEOUT_MS = 20_000;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ServerStandIn server = new ServerStandIn(loops.next());

    @AfterEach
    void close() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void latencyCountsFromTheIntendedSendTime() throws Exception {
        try (OpenLoopClient client = new OpenLoopClient(loops.next(), server.address(), 1, "t")) {
            client.send(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(700));
            assertTrue(client.awaitResponses(TIMEOUT_MS));
            Latencies latencies = client.collect();
            assertEquals(1, latencies.served().getTotalCount());
            assertEquals(0, latencies.failed());
            assertTrue(latencies.milliseconds(50) >= 699, latencies.milliseconds(50) + " ms");
            assertTrue(
                    latencies.sendDelayMilliseconds(50) >= 699,
                    latencies.sendDelayMilliseconds(50) + " ms late");
        }
    }

    @Test
    void requestThatCannotConnectCountsAsFailed() throws Exception {
        try (OpenLoopClient client =
                new OpenLoopClient(loops.next(), NodeProcess.freeAddress(), 1, "t")) {
            client.send(System.nanoTime());
            assertTrue(client.awaitResponses(TIMEOUT_MS));
            Latencies latencies = client.collect();
            assertEquals(0, latencies.served().getTotalCount());
            assertEquals(1, latencies.failed());
        }
    }

    @Test
    void requestIsSentBeforeAnEarlierOneIsAnswered() throws Exception {
        try (SilentServer silentServer = new SilentServer();
                OpenLoopClient client =
                        new OpenLoopClient(loops.next(), silentServer.address(), 1, "t")) {
            client.send(System.nanoTime());
            client.send(System.nanoTime());
            silentServer.acceptTwo();
        }
    }

    @Test
    void numberOfRequestsDependsOnTheSeedAndNotOnThePacersDelay() throws Exception {
        try (OpenLoopClient client = new OpenLoopClient(loops.next(), server.address(), 1, "t")) {
            new Pacer(11).run(List.of(client), 400, 0.5);
            assertTrue(client.awaitResponses(TIMEOUT_MS));
            Latencies latencies = client.collect();
            assertEquals(
                    expectedCount(11, 400, 0.5),
                    latencies.served().getTotalCount() + latencies.failed());
        }
    }

    // Counts the requests of the same Poisson process by its definition: exponentially distributed
    // intervals until the time is over.
    private static long expectedCount(long seed, double perSecond, double seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        long count = -1;
        for (double at = 0; at < seconds; count++) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
        }
        return count;
    }

    /** Accepts connections and never answers. */
    private static final class SilentServer implements AutoCloseable {
        private final ServerSocket listener;

        SilentServer() throws IOException {
            listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
            listener.setSoTimeout((int) TIMEOUT_MS);
        }

        Address address() {
            return new Address("127.0.0.1", listener.getLocalPort());
        }

        void acceptTwo() throws IOException {
            try (Socket one = listener.accept();
                    Socket other = listener.accept()) {
                assertTrue(one.isConnected() && other.isConnected());
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
