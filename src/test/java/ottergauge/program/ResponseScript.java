// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.text;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What a server writes in response to one request, and when: a head, then a body in steps with
 * silences between them.
 *
 * @param framing how the end of the body is marked
 * @param length the length of the body
 * @param steps the silences; what follows the last one is written at once
 */
record ResponseScript(Framing framing, int length, List<Step> steps) {

    /** How the end of a body is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /**
     * A silence.
     *
     * @param afterBytes how many bytes of the body precede it; negative if the head follows it
     * @param silenceMs how long it lasts
     */
    record Step(int afterBytes, long silenceMs) {}

    /** The position of a silence before the head. */
    static final int BEFORE_HEAD = -1;

    static ResponseScript of(Framing framing, int length, int afterBytes, long silenceMs) {
        return new ResponseScript(framing, length, List.of(new Step(afterBytes, silenceMs)));
    }

    byte[] body() {
        return bytes(length);
    }

    /** Writes the response. The connection has to be closed after one with {@code CLOSE}. */
    void write(OutputStream out) throws IOException, InterruptedException {
        byte[] body = body();
        byte[] pending = text(head());
        int written = 0;
        for (Step step : steps) {
            if (step.afterBytes() >= 0) {
                pending = join(pending, part(body, written, step.afterBytes()));
                written = step.afterBytes();
                // In one segment with the head, if nothing preceded.
                out.write(pending);
                pending = new byte[0];
            }
            Thread.sleep(step.silenceMs());
        }
        out.write(join(pending, part(body, written, length)));
        if (framing == Framing.CHUNKED) {
            out.write(text("0\r\nX-Trailer: ignored\r\n\r\n"));
        }
    }

    private String head() {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/x-test\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                    case CLOSE -> "Connection: close\r\n\r\n";
                };
    }

    private byte[] part(byte[] body, int from, int to) {
        byte[] part = Arrays.copyOfRange(body, from, to);
        if (framing != Framing.CHUNKED || part.length == 0) {
            return part;
        }
        return join(
                join(text(Integer.toHexString(part.length) + ";name=value\r\n"), part),
                text("\r\n"));
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    @Override
    public String toString() {
        List<String> silences = new ArrayList<>();
        for (Step step : steps) {
            String place =
                    step.afterBytes() == BEFORE_HEAD
                            ? "before the head"
                            : "after " + step.afterBytes() + " bytes";
            silences.add(step.silenceMs() + " ms " + place);
        }
        return framing.name().toLowerCase(Locale.ROOT) + ", " + length + " bytes, " + silences;
    }
}
