// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 message, parsed as far as the tests' clients and servers need it. */
record HttpMessage(String startLine, Map<String, String> headers, String body) {

    /** Reads a message; null at the end of the stream. */
    static HttpMessage read(InputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length
                ? null
                : new HttpMessage(
                        startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return null;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ", -1)[1]);
    }

    String target() {
        return startLine.split(" ", -1)[1];
    }

    static byte[] response(int status, String headers, String body) {
        String head =
                "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length();
        return (head + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
