// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A listening address of a stand-in, reached over one link. In mode OPEN it accepts connections. In
 * mode REFUSE no socket listens. In mode SILENT a socket listens but accepts nothing, and the
 * laboratory itself fills its short backlog. The operating system then responds to no further
 * connection attempt, as if the machine were gone.
 */
public final class Listener {

    private static final int BACKLOG = 1024;
    private static final int SHORT_BACKLOG = 1;
    private static final int BACKLOG_FILLERS = 3;
    private static final long RETRY_INTERVAL = 1_000;
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_PAUSE = TimeUnit.MILLISECONDS.toNanos(20);

    private final Loop loop;
    private final InetSocketAddress address;
    private final Link link;
    private final Consumer<ChannelPipeline> onAccept;
    private final List<SocketChannel> backlogFillers = new ArrayList<>();
    private Channel channel;
    private ServerSocket silentSocket;
    private boolean processRunning = true;
    private long rebindCount;
    private boolean closed;

    /**
     * Binds the address in the calling thread; {@code onAccept} gets the pipeline of each
     * connection, with the link's handler already added.
     */
    public Listener(
            Loop loop, InetSocketAddress address, Link link, Consumer<ChannelPipeline> onAccept)
            throws IOException {
        this.loop = loop;
        this.address = address;
        this.link = link;
        this.onAccept = onAccept;
        link.onAcceptModeChange(this::rebind);
        ChannelFuture bound = open().awaitUninterruptibly();
        // On a busy machine the address may still be in use for a moment by a process of the
        // previous run: between fork and exec, a child process has inherited all sockets of the
        // laboratory.
        for (int attempts = 1; !bound.isSuccess() && attempts < MAX_BIND_ATTEMPTS; attempts++) {
            LockSupport.parkNanos(BIND_RETRY_PAUSE);
            bound = open().awaitUninterruptibly();
        }
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + LoopbackAddresses.text(address), bound.cause());
        }
    }

    /** Simulates that the process that listens here has ended, or runs again. */
    public void setRunning(boolean running) {
        if (processRunning != running) {
            processRunning = running;
            rebind();
        }
    }

    private void rebind() {
        close();
        bindWhenFree(++rebindCount);
    }

    // The operating system frees an address a moment after its socket was closed; binding is
    // retried until then.
    private void bindWhenFree(long rebind) {
        if (closed || rebind != rebindCount) {
            return;
        }
        Runnable retry = () -> loop.after(RETRY_INTERVAL, () -> bindWhenFree(rebind));
        if (link.acceptMode() == Link.AcceptMode.SILENT) {
            try {
                listenSilently();
            } catch (IOException e) {
                closeQuietly(silentSocket);
                retry.run();
            }
        } else if (processRunning && link.acceptMode() == Link.AcceptMode.OPEN) {
            open().addListener(
                            bound -> {
                                if (!bound.isSuccess()) {
                                    retry.run();
                                }
                            });
        }
    }

    private ChannelFuture open() {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop.netty())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        connection
                                                .pipeline()
                                                .addLast(new LinkHandler(loop, link, false));
                                        onAccept.accept(connection.pipeline());
                                    }
                                })
                        .bind(address);
        channel = bound.channel();
        return bound;
    }

    private void listenSilently() throws IOException {
        silentSocket = new ServerSocket();
        silentSocket.setReuseAddress(true);
        silentSocket.bind(address, SHORT_BACKLOG);
        // Does not wait until these connections are established: a busy machine may be slow, but it
        // handles connection attempts in order, so later attempts find the backlog full.
        for (int i = 0; i < BACKLOG_FILLERS; i++) {
            SocketChannel socket = SocketChannel.open();
            backlogFillers.add(socket);
            socket.configureBlocking(false);
            socket.connect(address);
        }
    }

    // The future may be ignored: bindWhenFree retries until the address of the socket is free.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void close() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
        closeQuietly(silentSocket);
        silentSocket = null;
        for (SocketChannel socket : backlogFillers) {
            closeQuietly(socket);
        }
        backlogFillers.clear();
    }

    private static void closeQuietly(Closeable each) {
        try {
            if (each != null) {
                each.close();
            }
        } catch (IOException e) {
            // The socket only kept the address from accepting connections, and is no longer needed.
        }
    }

    /** Stops listening for good. */
    public void end() {
        closed = true;
        close();
    }
}
