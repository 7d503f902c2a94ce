// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.zip.CRC32;
import ottergauge.program.RunningNode.Client;

/** HTTP messages as bytes: what a test has to see or send exactly as it is on the wire. */
final class RawHttp {

    private RawHttp() {}

    /** Reads a head unchanged; null at the end of the stream. */
    static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        for (int c = in.read(); c >= 0; c = in.read()) {
            head.write(c);
            last = last << 8 | c;
            if (last == 0x0d0a0d0a) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    /** Reads the body that a head announces; null if it is truncated. */
    static byte[] body(String head, InputStream in) throws IOException {
        if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            int at = head.toLowerCase(Locale.ROOT).indexOf("content-length:");
            String field = at < 0 ? "0" : head.substring(at + 15, head.indexOf('\r', at)).trim();
            int length = Integer.parseInt(field);
            byte[] body = in.readNBytes(length);
            return body.length < length ? null : body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            if (line == null) {
                return null;
            }
            int size = Integer.parseInt(line.trim(), 16);
            byte[] part = in.readNBytes(size);
            body.write(part);
            if (part.length < size || line(in) == null) {
                return null;
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            line.append((char) c);
        }
        return null;
    }

    static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    static String checksum(byte[] bytes) {
        CRC32 checksum = new CRC32();
        checksum.update(bytes);
        return bytes.length + ":" + checksum.getValue();
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String requestWithFields(String action, String fields) {
        return Client.request("grant", action, "").replace("Content-Length: 0\r\n", fields);
    }

    static void write(Socket socket, String head, byte[]... parts) throws IOException {
        socket.getOutputStream().write(text(head));
        for (byte[] part : parts) {
            socket.getOutputStream().write(part);
        }
    }

    // A server that responds with the checksum of the request body.
}
