// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The loopback addresses of one run. Each node reaches each server, discovery and each other node
 * under an address of its own, so that the stand-in at the other end knows which link a connection
 * uses.
 */
public record LoopbackAddresses(int net, int port) {

    private static final int FIRST_NET = 64;
    private static final int LAST_NET = 250;
    private static final int LOWEST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final int NODE_OCTET = 1;
    private static final int DISCOVERY_OCTET = 4;
    private static final int FIRST_LINK_OCTET = 100;

    /**
     * Reserves a range of addresses that no other run uses. The range stays reserved until the
     * returned socket is closed. Ports are below the range from which the operating system assigns
     * ephemeral ports.
     */
    public static ServerSocket reserve() throws IOException {
        for (int net = FIRST_NET; net <= LAST_NET; net++) {
            int port =
                    LOWEST_PORT + (int) ((ProcessHandle.current().pid() * 31 + net * 97L) % PORTS);
            ServerSocket lock = new ServerSocket();
            try {
                lock.bind(new InetSocketAddress("127." + net + ".0.1", LOWEST_PORT - 1));
                try (ServerSocket free = new ServerSocket()) {
                    free.bind(new InetSocketAddress("127." + net + ".0.1", port));
                }
                return lock;
            } catch (IOException e) {
                lock.close();
            }
        }
        throw new IOException("no free range of loopback addresses");
    }

    /** Returns the addresses of the range that is reserved by a socket from {@link #reserve}. */
    public static LoopbackAddresses of(ServerSocket lock) {
        int net = lock.getInetAddress().getAddress()[1] & 0xff;
        return new LoopbackAddresses(
                net,
                LOWEST_PORT + (int) ((ProcessHandle.current().pid() * 31 + net * 97L) % PORTS));
    }

    private InetSocketAddress at(int thirdOctet, int fourthOctet, int addressPort) {
        return new InetSocketAddress(
                "127." + net + "." + thirdOctet + "." + fourthOctet, addressPort);
    }

    /** Returns the address where a node listens for clients. */
    public InetSocketAddress node(int node) {
        return at(NODE_OCTET, node, port);
    }

    /** Returns the address under which a node reaches a server. */
    public InetSocketAddress server(int node, int server) {
        return at(FIRST_LINK_OCTET + node, server, port);
    }

    /** Returns the address under which a node reaches discovery. */
    public InetSocketAddress registry(int node) {
        return at(DISCOVERY_OCTET, node, port);
    }

    /** Returns the address where a node listens for messages of other nodes. */
    public InetSocketAddress peer(int node) {
        return at(NODE_OCTET, node, port + 1);
    }

    /** Returns the address under which a node reaches another node. */
    public InetSocketAddress peer(int node, int other) {
        return at(FIRST_LINK_OCTET + node, other, port + 1);
    }

    /** Parses HOST:PORT, the format of {@link #text}. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
