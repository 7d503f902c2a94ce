// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Calls a stand-in from its own process to warm it up. A stand-in whose code runs for the first
 * time answers the first hundreds of calls late, and a scale test would attribute that delay to the
 * nodes.
 */
final class WarmUp {

    private static final int CALLS = 500;
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final byte[] REQUEST =
            ("GET /registry/instances?after=0&wait_ms=0 HTTP/1.1\r\n" + "Host: itself\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
    private static final String LENGTH = "content-length: ";
    private static final String HEAD_END = "\r\n\r\n";

    private WarmUp() {}

    static void run(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            InputStream in = socket.getInputStream();
            for (int call = 0; call < CALLS; call++) {
                socket.getOutputStream().write(REQUEST);
                in.readNBytes(length(head(in)));
            }
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException(
                        "the discovery stand-in closed the connection during its warm-up");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int length(String head) {
        int from = head.indexOf(LENGTH) + LENGTH.length();
        return Integer.parseInt(head.substring(from, head.indexOf("\r\n", from)).trim());
    }
}
