// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static ottergauge.program.RawHttp.bytes;
import static ottergauge.program.RawHttp.text;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a server writes in response to one request, and when: a head, then a body in steps with
 * silences between them.
 *
 * @param framing how the end of the body is marked
 * @param form how the head and the parts of the body are written
 * @param length the length of the body
 * @param steps the silences; what follows the last one is written at once
 * @param end what follows the body
 */
record ResponseScript(Framing framing, Form form, int length, List<Step> steps, End end) {

    /** How the end of a body is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** How the head and the parts of the body are written. */
    enum Form {
        PLAIN,
        /** Interim responses precede the head. */
        INTERIM_FIRST,
        /** The head comes in two pieces. */
        HEAD_IN_PIECES,
        /** The first bytes of each chunked part have a chunk of their own. */
        ONE_BYTE_CHUNKS
    }

    /** What follows the body. */
    enum End {
        WHOLE,
        /** Nothing: the server does not mark the end, and the connection stays open. */
        NONE,
        /** Something that is not a chunk. */
        MALFORMED
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

    private static final long BETWEEN_PIECES_MS = 20;
    private static final int ONE_BYTE_CHUNKS = 50;

    static ResponseScript of(Framing framing, int length, int afterBytes, long silenceMs) {
        return of(framing, Form.PLAIN, length, new Step(afterBytes, silenceMs));
    }

    static ResponseScript of(Framing framing, Form form, int length, Step... steps) {
        return new ResponseScript(framing, form, length, List.of(steps), End.WHOLE);
    }

    ResponseScript endedBy(End other) {
        return new ResponseScript(framing, form, length, steps, other);
    }

    byte[] body() {
        return bytes(length);
    }

    /** Whether the server closes the connection after the response. */
    boolean closes() {
        return framing == Framing.CLOSE && end == End.WHOLE;
    }

    /**
     * Writes the response; for the caller to close the connection is left if it {@link #closes}.
     */
    void write(OutputStream out) throws IOException, InterruptedException {
        byte[] body = body();
        ByteArrayOutputStream pending = new ByteArrayOutputStream();
        int written = 0;
        boolean headWritten = false;
        for (Step step : steps) {
            if (step.afterBytes() >= 0) {
                if (!headWritten) {
                    writeHead(out, pending);
                    headWritten = true;
                }
                writePart(pending, body, written, step.afterBytes());
                written = step.afterBytes();
                // In one segment with the head, if nothing preceded.
                flush(out, pending);
            }
            Thread.sleep(step.silenceMs());
        }
        if (!headWritten) {
            writeHead(out, pending);
        }
        writePart(pending, body, written, length);
        if (framing == Framing.CHUNKED && end != End.NONE) {
            pending.write(
                    text(end == End.WHOLE ? "0\r\nX-Trailer: ignored\r\n\r\n" : "no chunk\r\n"));
        }
        flush(out, pending);
    }

    private static void flush(OutputStream out, ByteArrayOutputStream pending) throws IOException {
        out.write(pending.toByteArray());
        pending.reset();
    }

    private void writeHead(OutputStream out, ByteArrayOutputStream pending)
            throws IOException, InterruptedException {
        if (form == Form.INTERIM_FIRST) {
            out.write(text("HTTP/1.1 100 Continue\r\n\r\n"));
            Thread.sleep(BETWEEN_PIECES_MS);
            out.write(text("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"));
        }
        String head = head();
        int split = form == Form.HEAD_IN_PIECES ? head.length() - 3 : 0;
        if (split > 0) {
            out.write(text(head.substring(0, split)));
            Thread.sleep(BETWEEN_PIECES_MS);
        }
        pending.write(text(head.substring(split)));
    }

    private String head() {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/x-test\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                    case CLOSE -> "Connection: close\r\n\r\n";
                };
    }

    private void writePart(ByteArrayOutputStream out, byte[] body, int from, int to) {
        int start = from;
        int singles = form == Form.ONE_BYTE_CHUNKS ? Math.min(to - from, ONE_BYTE_CHUNKS) : 0;
        for (int i = 0; i < singles; i++) {
            writeChunk(out, body, start, start + 1);
            start++;
        }
        writeChunk(out, body, start, to);
    }

    private void writeChunk(ByteArrayOutputStream out, byte[] body, int from, int to) {
        if (from == to) {
            return;
        }
        boolean chunked = framing == Framing.CHUNKED;
        if (chunked) {
            out.writeBytes(text(Integer.toHexString(to - from) + ";name=value\r\n"));
        }
        out.write(body, from, to - from);
        if (chunked) {
            out.writeBytes(text("\r\n"));
        }
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
        return String.format(
                Locale.ROOT, "%s, %s, %d bytes, %s, end %s", framing, form, length, silences, end);
    }
}
