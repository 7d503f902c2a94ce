// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.link;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;

/** A relay while it is open, while it is cut, and after it is restored. */
@Timeout(60)
class RelayTest {

    private static final int SHORT_TIMEOUT_MS = 200;
    private static final int LONG_TIMEOUT_MS = 20_000;

    private final Loop loop = new Loop();
    private ServerSocket target;
    private InetSocketAddress address;
    private Relay relay;

    @BeforeEach
    void open() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        relay =
                new Relay(
                        loop,
                        new Links(1).add("a", "b", 0, 0),
                        address,
                        (InetSocketAddress) target.getLocalSocketAddress(),
                        new InetSocketAddress("127.9.9.9", 0));
    }

    @AfterEach
    void close() throws Exception {
        loop.netty().submit(relay::end).get();
        loop.close();
        target.close();
    }

    private void cut(boolean cuts) throws Exception {
        loop.netty().submit(() -> relay.cut(cuts)).get();
    }

    private Socket connect(int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, timeoutMs);
        return socket;
    }

    private static void assertForwards(Socket from, Socket to, String text) throws IOException {
        to.setSoTimeout(LONG_TIMEOUT_MS);
        from.getOutputStream().write(text.getBytes(UTF_8));
        assertArrayEquals(text.getBytes(UTF_8), to.getInputStream().readNBytes(text.length()));
    }

    private static void assertReceivesNothing(Socket socket) throws IOException {
        socket.setSoTimeout(SHORT_TIMEOUT_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }

    @Test
    void bytesAreForwardedInBothDirectionsFromTheConfiguredSource() throws Exception {
        try (Socket inbound = connect(LONG_TIMEOUT_MS);
                Socket outbound = target.accept()) {
            assertEquals("127.9.9.9", outbound.getInetAddress().getHostAddress());
            assertForwards(inbound, outbound, "there");
            assertForwards(outbound, inbound, "and back");
            long[] bytes = loop.netty().submit(() -> relay.readAndResetBytes()).get();
            assertArrayEquals(new long[] {5, 8}, bytes);
        }
    }

    @Test
    @SuppressWarnings("try") // The test closes one side before the block ends.
    void closingOneSideClosesTheOther() throws Exception {
        try (Socket inbound = connect(LONG_TIMEOUT_MS);
                Socket outbound = target.accept()) {
            outbound.getOutputStream().write("last".getBytes(UTF_8));
            outbound.close();
            inbound.setSoTimeout(LONG_TIMEOUT_MS);
            assertEquals("last", new String(inbound.getInputStream().readAllBytes(), UTF_8));
        }
    }

    /**
     * Guards against a cut that loses or forwards bytes on their way, or that accepts connections.
     */
    @Test
    void aCutRelayForwardsNothingUntilItIsRestored() throws Exception {
        try (Socket inbound = connect(LONG_TIMEOUT_MS);
                Socket outbound = target.accept()) {
            assertForwards(inbound, outbound, "open");
            cut(true);
            inbound.getOutputStream().write("held there".getBytes(UTF_8));
            outbound.getOutputStream().write("held back".getBytes(UTF_8));
            assertReceivesNothing(outbound);
            assertReceivesNothing(inbound);
            assertThrows(SocketTimeoutException.class, () -> connect(SHORT_TIMEOUT_MS).close());
            cut(false);
            outbound.setSoTimeout(LONG_TIMEOUT_MS);
            inbound.setSoTimeout(LONG_TIMEOUT_MS);
            assertEquals("held there", new String(outbound.getInputStream().readNBytes(10), UTF_8));
            assertEquals("held back", new String(inbound.getInputStream().readNBytes(9), UTF_8));
            try (Socket again = connect(LONG_TIMEOUT_MS);
                    Socket other = target.accept()) {
                assertForwards(again, other, "anew");
            }
        }
    }

    /** Guards against a relay that buffers in its memory what the other side does not read. */
    @Test
    void aReceiverThatDoesNotReadStopsTheSender() throws Exception {
        try (SocketChannel inbound = SocketChannel.open(address);
                Socket outbound = target.accept()) {
            inbound.configureBlocking(false);
            long written = 0;
            long quietSince = System.nanoTime();
            while (System.nanoTime() - quietSince < 500_000_000L) {
                int part = inbound.write(ByteBuffer.allocate(1 << 16));
                written += part;
                quietSince = part > 0 ? System.nanoTime() : quietSince;
                assertTrue(written < 64 << 20, "the relay reads without limit");
            }
            InputStream in = outbound.getInputStream();
            long read = 0;
            while (read < written) {
                read += in.readNBytes((int) Math.min(1 << 16, written - read)).length;
            }
        }
    }
}
