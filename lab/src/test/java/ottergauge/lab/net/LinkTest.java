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
import ottergauge.lab.scenario.Scenario.Direction;
import ottergauge.lab.scenario.Scenario.Fault;
import ottergauge.lab.scenario.Scenario.FaultKind;

/** Tests each link fault on real sockets, with an echo server behind a link and a client. */
@Timeout(30)
class LinkTest {

    // Expected data may be late on a busy machine; data that must not arrive is awaited for a
    // shorter time.
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final int SHORT_TIMEOUT_MS = 300;

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

    private void fault(FaultKind faultKind, Direction direction, double amount, long span)
            throws Exception {
        loop.netty()
                .submit(
                        () ->
                                link.apply(
                                        new Fault(
                                                0, 0, faultKind, List.of(), 0, List.of(), direction,
                                                amount, span, 0, 1)))
                .get();
    }

    private void clearFaults() throws Exception {
        loop.netty().submit(link::clearFaults).get();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address, SHORT_TIMEOUT_MS);
        socket.setSoTimeout(SHORT_TIMEOUT_MS);
        return socket;
    }

    // Repeats the connection attempt, since a change of the accept mode takes effect a moment
    // later.
    private void awaitConnectFailure(Class<? extends IOException> failure) throws IOException {
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

    private Socket connectWhenAccepted() {
        for (; ; ) {
            try {
                return connect();
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }

    private static String echo(Socket socket, String text) throws IOException {
        return echo(socket, text, RESPONSE_TIMEOUT_MS);
    }

    private static String echo(Socket socket, String text, int within) throws IOException {
        socket.setSoTimeout(within);
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return new String(socket.getInputStream().readNBytes(text.length()), UTF_8);
    }

    /**
     * Guards against an attempt that stays open in the event log after the link has reset its
     * connection: the stand-in was not notified of the end, and the next attempt counted as a
     * second copy.
     */
    @Test
    void theStandInIsNotifiedWhenTheLinkResetsItsConnection() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("ok", echo(socket, "ok"));
            fault(FaultKind.LINK_RESET, Direction.BOTH, 0, 0);
            assertThrows(SocketException.class, () -> echo(socket, "lost"));
            assertEquals("ended", ended.poll(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void withoutFaultsBytesPass() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("hello", echo(socket, "hello"));
        }
    }

    @Test
    void aRefusingLinkAcceptsNoConnectionUntilTheFaultEnds() throws Exception {
        fault(FaultKind.LINK_REFUSE, Direction.BOTH, 1, 0);
        awaitConnectFailure(ConnectException.class);
        clearFaults();
        try (Socket socket = connectWhenAccepted()) {
            assertEquals("again", echo(socket, "again"));
        }
    }

    @Test
    void aResetClosesOpenAndNewConnections() throws Exception {
        try (Socket socket = connect()) {
            assertEquals("before", echo(socket, "before"));
            fault(FaultKind.LINK_RESET, Direction.BOTH, 1, 0);
            assertThrows(
                    SocketException.class,
                    () -> {
                        while (socket.getInputStream().read() >= 0) {}

                        throw new SocketException("ended");
                    });
        }
        // The client may notice the reset while it connects, writes or reads.
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
    void aDropInOneDirectionHoldsBytesUntilTheFaultEnds() throws Exception {
        try (Socket socket = connect()) {
            fault(FaultKind.LINK_DROP, Direction.BACK, 1, 0);
            assertThrows(
                    SocketTimeoutException.class, () -> echo(socket, "held", SHORT_TIMEOUT_MS));
            clearFaults();
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            assertEquals("held", new String(socket.getInputStream().readNBytes(4), UTF_8));
        }
    }

    @Test
    void aDropInBothDirectionsLetsNoConnectionBeEstablished() throws Exception {
        fault(FaultKind.LINK_DROP, Direction.BOTH, 1, 0);
        awaitConnectFailure(SocketTimeoutException.class);
        clearFaults();
        try (Socket socket = connectWhenAccepted()) {
            assertEquals("back", echo(socket, "back"));
        }
    }

    @Test
    void aDelayKeepsTheOrderOfBytes() throws Exception {
        fault(FaultKind.LINK_DELAY, Direction.BOTH, 1, 30_000);
        try (Socket socket = connect()) {
            long from = System.nanoTime();
            assertEquals("one", echo(socket, "one"));
            assertTrue(System.nanoTime() - from >= 60_000_000, "both directions are delayed");
            assertEquals("two", echo(socket, "two"));
        }
    }

    @Test
    void lostBytesAreNotRetransmitted() throws Exception {
        fault(FaultKind.LINK_LOSE, Direction.THERE, 1, 0);
        try (Socket socket = connect()) {
            assertThrows(
                    SocketTimeoutException.class, () -> echo(socket, "lost", SHORT_TIMEOUT_MS));
            clearFaults();
            assertThrows(
                    SocketTimeoutException.class,
                    () -> echo(socket, "behind it", SHORT_TIMEOUT_MS));
        }
    }

    @Test
    void aCutEndsAConnectionInTheMiddleOfAMessage() throws Exception {
        fault(FaultKind.LINK_CUT, Direction.BACK, 3, 0);
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
    void aRateLimitedLinkPassesItsBytesPerSecond() throws Exception {
        fault(FaultKind.LINK_RATE, Direction.THERE, 100, 0);
        try (Socket socket = connect()) {
            long from = System.nanoTime();
            assertEquals("0123456789", echo(socket, "0123456789"));
            assertTrue(System.nanoTime() - from >= 100_000_000, "10 bytes at 100 bytes per second");
        }
    }

    /** Guards against a run that fails because the previous run's addresses are freed late. */
    @Test
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    void anAddressStillInUseIsRetried() throws Exception {
        ServerSocket previousSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        loop.netty()
                .schedule(
                        () -> {
                            previousSocket.close();
                            return null;
                        },
                        SHORT_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
        InetSocketAddress addressInUse = (InetSocketAddress) previousSocket.getLocalSocketAddress();
        Listener listenerUnderTest =
                new Listener(
                        loop, addressInUse, new Links(1).add("n2", "s1", 0, 0), pipeline -> {});
        try (Socket socket = new Socket()) {
            socket.connect(addressInUse, RESPONSE_TIMEOUT_MS);
        } finally {
            listenerUnderTest.end();
        }
    }
}
