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

/** The way over a relay: open, cut off and healed. */
@Timeout(60)
class RelayTest {

    private static final int SOON_MS = 200;
    private static final int LATER_MS = 20_000;

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

    private Socket connect(int withinMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, withinMs);
        return socket;
    }

    private static void assertCarries(Socket from, Socket to, String text) throws IOException {
        to.setSoTimeout(LATER_MS);
        from.getOutputStream().write(text.getBytes(UTF_8));
        assertArrayEquals(text.getBytes(UTF_8), to.getInputStream().readNBytes(text.length()));
    }

    private static void assertBringsNothing(Socket socket) throws IOException {
        socket.setSoTimeout(SOON_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }

    @Test
    void bytesGoBothWaysFromTheAddressThatWasNamed() throws Exception {
        try (Socket inbound = connect(LATER_MS);
                Socket outbound = target.accept()) {
            assertEquals("127.9.9.9", outbound.getInetAddress().getHostAddress());
            assertCarries(inbound, outbound, "there");
            assertCarries(outbound, inbound, "and back");
            long[] bytes = loop.netty().submit(() -> relay.readAndResetBytes()).get();
            assertArrayEquals(new long[] {5, 8}, bytes);
        }
    }

    @Test
    @SuppressWarnings("try") // One side is closed by the test before its block ends.
    void theEndOfOneSideIsTheEndOfTheOther() throws Exception {
        try (Socket inbound = connect(LATER_MS);
                Socket outbound = target.accept()) {
            outbound.getOutputStream().write("last".getBytes(UTF_8));
            outbound.close();
            inbound.setSoTimeout(LATER_MS);
            assertEquals("last", new String(inbound.getInputStream().readAllBytes(), UTF_8));
        }
    }

    /** Guards against a cut that loses or passes what is under way, or that lets connections up. */
    @Test
    void cutOffNothingMovesUntilItHeals() throws Exception {
        try (Socket inbound = connect(LATER_MS);
                Socket outbound = target.accept()) {
            assertCarries(inbound, outbound, "open");
            cut(true);
            inbound.getOutputStream().write("held there".getBytes(UTF_8));
            outbound.getOutputStream().write("held back".getBytes(UTF_8));
            assertBringsNothing(outbound);
            assertBringsNothing(inbound);
            assertThrows(SocketTimeoutException.class, () -> connect(SOON_MS).close());
            cut(false);
            outbound.setSoTimeout(LATER_MS);
            inbound.setSoTimeout(LATER_MS);
            assertEquals("held there", new String(outbound.getInputStream().readNBytes(10), UTF_8));
            assertEquals("held back", new String(inbound.getInputStream().readNBytes(9), UTF_8));
            try (Socket again = connect(LATER_MS);
                    Socket other = target.accept()) {
                assertCarries(again, other, "anew");
            }
        }
    }

    /** Guards against a relay that keeps in its memory what the other side does not take. */
    @Test
    void oneThatDoesNotReadStopsTheOneThatWrites() throws Exception {
        try (SocketChannel inbound = SocketChannel.open(address);
                Socket outbound = target.accept()) {
            inbound.configureBlocking(false);
            long written = 0;
            long quietSince = System.nanoTime();
            while (System.nanoTime() - quietSince < 500_000_000L) {
                int part = inbound.write(ByteBuffer.allocate(1 << 16));
                written += part;
                quietSince = part > 0 ? System.nanoTime() : quietSince;
                assertTrue(written < 64 << 20, "it takes whatever comes");
            }
            InputStream in = outbound.getInputStream();
            long read = 0;
            while (read < written) {
                read += in.readNBytes((int) Math.min(1 << 16, written - read)).length;
            }
        }
    }
}
