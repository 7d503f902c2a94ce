// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static ottergauge.program.RawHttp.body;
import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.checksum;
import static ottergauge.program.RawHttp.head;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ottergauge.program.RunningNode.Client;
import ottergauge.program.ScriptedServer.Behaviour;

/**
 * A request whose server responds by a {@link ResponseScript}, and what its client has of the
 * response.
 *
 * @param responseHead the head; null if the connection was closed before one
 * @param firstByteMs when the head had come, since the request was written
 * @param whole whether the client can tell that all of the body has come
 * @param unchanged whether it is what the server has written
 * @param endMs when the response or the connection ended, since the request was written
 */
record ScriptedExchange(
        String responseHead, long firstByteMs, boolean whole, boolean unchanged, long endMs) {

    private static final String ACTION = "do=script-";
    private static final int READ_BYTES = 8 * 1024;

    /** A server that waits for a moment and then follows the script that the request names. */
    static Behaviour server(List<ResponseScript> scripts, long headMs) {
        return (requestHead, in, out) -> {
            body(requestHead, in);
            int at = requestHead.indexOf(ACTION) + ACTION.length();
            int number = Integer.parseInt(requestHead.substring(at, requestHead.indexOf(' ', at)));
            Thread.sleep(headMs);
            scripts.get(number).write(out);
            if (scripts.get(number).closes()) {
                out.close();
            }
        };
    }

    /** Sends a request for the script of this number, and reads the response. */
    static ScriptedExchange run(
            RunningNode node, String requestClass, int number, ResponseScript script)
            throws IOException {
        return run(node, requestClass, number, script, 0, Long.MAX_VALUE);
    }

    /**
     * The same with a request that has a body of this size, by a client that reads no faster than
     * this.
     */
    static ScriptedExchange run(
            RunningNode node,
            String requestClass,
            int number,
            ResponseScript script,
            int requestBytes,
            long maxBytesPerSecond)
            throws IOException {
        try (Client client = node.client()) {
            String request = Client.request(requestClass, "script-" + number, "");
            RawHttp.write(
                    client.socket(),
                    request.replace("Content-Length: 0", "Content-Length: " + requestBytes),
                    bytes(requestBytes));
            long sentAt = System.nanoTime();
            InputStream in = client.socket().getInputStream();
            String responseHead = head(in);
            long firstByteMs = since(sentAt);
            byte[] received = null;
            if (responseHead != null) {
                received = bodyOrNull(responseHead, new SlowInput(in, maxBytesPerSecond));
            }
            boolean whole = received != null;
            boolean unchanged = whole && checksum(script.body()).equals(checksum(received));
            return new ScriptedExchange(responseHead, firstByteMs, whole, unchanged, since(sentAt));
        }
    }

    private static byte[] bodyOrNull(String responseHead, InputStream in) {
        try {
            return body(responseHead, in);
        } catch (IOException e) {
            return null;
        }
    }

    private static long since(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    boolean isServed() {
        return responseHead != null && responseHead.startsWith("HTTP/1.1 200");
    }

    /** What is wrong with a response that has to arrive whole; empty if nothing is. */
    String faultOfWhole(long maxFirstByteMs) {
        if (!isServed()) {
            return responseHead + " after " + firstByteMs + " ms";
        }
        if (!whole) {
            return "cut off after " + endMs + " ms";
        }
        if (!unchanged) {
            return "not what the server sent";
        }
        return firstByteMs <= maxFirstByteMs ? "" : "first byte after " + firstByteMs + " ms";
    }

    /** What is wrong with a response that can't be whole; empty if its client can tell in time. */
    String faultOfFailed(long maxEndMs) {
        if (isServed() && whole) {
            return "passed on as whole";
        }
        return endMs <= maxEndMs ? "" : "ended after " + endMs + " ms";
    }

    /** Reads no faster than a number of bytes per second. */
    private static final class SlowInput extends InputStream {

        private final InputStream in;
        private final long maxBytesPerSecond;

        SlowInput(InputStream in, long maxBytesPerSecond) {
            this.in = in;
            this.maxBytesPerSecond = maxBytesPerSecond;
        }

        @Override
        public int read() throws IOException {
            return in.read();
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int read = in.read(buffer, offset, Math.min(length, READ_BYTES));
            if (read > 0 && maxBytesPerSecond < Long.MAX_VALUE) {
                try {
                    Thread.sleep(read * TimeUnit.SECONDS.toMillis(1) / maxBytesPerSecond);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            return read;
        }
    }
}
