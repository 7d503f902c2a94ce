// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ottergauge.lab.scenario.Scenario.Fault;
import ottergauge.lab.scenario.Scenario.Way;
import ottergauge.lab.scenario.Scenario.What;

/** Each fault of a link on real sockets: an echo behind a link, and a client that asks it. */
@Timeout(30)
class LinkTest {

    // What is to come may be late on a busy machine; what is not to come is not waited for that
    // long.
    private static final int PATIENCE_MS = 10_000;
    private static final int SOON_MS = 300;

    private final Loop loop = new Loop();
    private final Link link = new Links(1).add("n1", "s1", 0, 0);
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    private InetSocketAddress address;
    private Listener listener;

    @BeforeEach
    void listen() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        listener =
                new Listener(
                        loop,
                        address,
                        link,
                        pipeline ->
                                pipeline.addLast(
                                        new ChannelInboundHandlerAdapter() {
                                            @Override
                                            // A failed write or close shows as the end of its
                                            // connection.
                                            @SuppressWarnings("FutureReturnValueIgnored")
                                            public void channelRead(
                                                    ChannelHandlerContext ctx, Object message) {
                                                ctx.writeAndFlush((ByteBuf) message);
                                            }

                                            @Override
                                            public void channelInactive(ChannelHandlerContext ctx) {
                                                ended.add("ended");
                                            }
                                        }));
    }

    @AfterEach
    void end() {
        listener.end();
        loop.close();
    }

    private void fault(What what, Way way, double amount, long span) throws Exception {
        loop.netty()
                .submit(
                        () ->
                                link.apply(
                                        new Fault(
                                                0, 0, what, List.of(), 0, List.of(), way, amount,
                                                span, 0, 1)))
                .get();
    }

    private void heal() throws Exception {
        loop.netty().submit(link::heal).get();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address, SOON_MS);
        socket.setSoTimeout(SOON_MS);
        return socket;
    }

    // A door that moves has settled a moment later.
    private void awaitConnecting(Class<? extends IOException> failure) throws IOException {
        for (; ; ) {
            try {
                connect().close();
            } catch (IOException e) {
                if (failure.isInstance(e)) {
                    return;
                }
            }
        }
    }

    private Socket connectOnceUp() {
        for (; ; ) {
            try {
                return connect();
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }

    private static String ask(Socket socket, String text) throws IOException {
        return ask(socket, text, PATIENCE_MS);
    }

    private static String ask(Socket socket, String text, int within) throws IOException {
        socket.setSoTimeout(within);
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return new String(socket.getInputStream().readNBytes(text.length()), UTF_8);
    }

    /**
     * Guards against a rig that takes an attempt for open whose connection it has reset itself: the
     * stand-in behind it did not hear of the end, and the next attempt counted as a second copy.
     */
    @Test
    void theStandInHearsOfAResetOfItsConnection() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("ok", ask(socket, "ok"));
            fault(What.LINK_RESET, Way.BOTH, 0, 0);
            assertThrows(SocketException.class, () -> ask(socket, "lost"));
            assertEquals("ended", ended.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void withNothingWrongBytesPass() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("hello", ask(socket, "hello"));
        }
    }

    @Test
    void aLinkThatRefusesIsConnectedToByNobodyUntilItHeals() throws Exception {
        fault(What.LINK_REFUSE, Way.BOTH, 1, 0);
        awaitConnecting(ConnectException.class);
        heal();
        try (Socket socket = connectOnceUp()) {
            assertEquals("again", ask(socket, "again"));
        }
    }

    @Test
    void aResetEndsWhatIsOpenAndWhatComes() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("before", ask(socket, "before"));
            fault(What.LINK_RESET, Way.BOTH, 1, 0);
            assertThrows(
                    SocketException.class,
                    () -> {
                        while (socket.getInputStream().read() >= 0) {}

                        throw new SocketException("ended");
                    });
        }
        // The reset may come as soon as the connection is up, or later.
        assertThrows(
                SocketException.class,
                () -> {
                    try (Socket socket = connect()) {
                        socket.getOutputStream().write(1);
                        while (socket.getInputStream().read() >= 0) {}

                        throw new SocketException("ended");
                    }
                });
    }

    @Test
    void silenceHoldsOneWayAndGivesItBackWhenItHeals() throws Exception {
        try (Socket socket = connect()) {
            fault(What.LINK_DROP, Way.BACK, 1, 0);
            assertThrows(SocketTimeoutException.class, () -> ask(socket, "held", SOON_MS));
            heal();
            socket.setSoTimeout(PATIENCE_MS);
            assertEquals("held", new String(socket.getInputStream().readNBytes(4), UTF_8));
        }
    }

    @Test
    void aLinkSilentBothWaysLetsNoConnectionComeUp() throws Exception {
        fault(What.LINK_DROP, Way.BOTH, 1, 0);
        awaitConnecting(SocketTimeoutException.class);
        heal();
        try (Socket socket = connectOnceUp()) {
            assertEquals("back", ask(socket, "back"));
        }
    }

    @Test
    void aDelayKeepsTheOrderOfBytes() throws Exception {
        fault(What.LINK_DELAY, Way.BOTH, 1, 30_000);
        try (Socket socket = connect()) {
            long from = System.nanoTime();
            assertEquals("one", ask(socket, "one"));
            assertTrue(System.nanoTime() - from >= 60_000_000, "both ways take their time");
            assertEquals("two", ask(socket, "two"));
        }
    }

    @Test
    void whatIsLostIsNeverMadeUpFor() throws Exception {
        fault(What.LINK_LOSE, Way.THERE, 1, 0);
        try (Socket socket = connect()) {
            assertThrows(SocketTimeoutException.class, () -> ask(socket, "lost", SOON_MS));
            heal();
            assertThrows(SocketTimeoutException.class, () -> ask(socket, "behind it", SOON_MS));
        }
    }

    @Test
    void aCutEndsAConnectionInTheMiddleOfAMessage() throws Exception {
        fault(What.LINK_CUT, Way.BACK, 3, 0);
        try (Socket socket = connect()) {
            socket.getOutputStream().write("message".getBytes(UTF_8));
            assertEquals("mes", new String(socket.getInputStream().readNBytes(3), UTF_8));
            assertThrows(
                    SocketException.class,
                    () -> {
                        if (socket.getInputStream().read() < 0) {
                            throw new SocketException("ended");
                        }
                    });
        }
    }

    @Test
    void aSlowLinkPassesItsBytesASecond() throws Exception {
        fault(What.LINK_RATE, Way.THERE, 100, 0);
        try (Socket socket = connect()) {
            long from = System.nanoTime();
            assertEquals("0123456789", ask(socket, "0123456789"));
            assertTrue(System.nanoTime() - from >= 100_000_000, "ten bytes at a hundred a second");
        }
    }

    /** Guards against a play that ends since the one before it gives its addresses back late. */
    @Test
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    void anAddressThatIsNotYetGivenBackIsTriedAgain() throws Exception {
        ServerSocket before = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        loop.netty()
                .schedule(
                        () -> {
                            before.close();
                            return null;
                        },
                        SOON_MS,
                        TimeUnit.MILLISECONDS);
        InetSocketAddress held = (InetSocketAddress) before.getLocalSocketAddress();
        Listener late =
                new Listener(loop, held, new Links(1).add("n2", "s1", 0, 0), pipeline -> {});
        try (Socket socket = new Socket()) {
            socket.connect(held, PATIENCE_MS);
        } finally {
            late.end();
        }
    }
}
