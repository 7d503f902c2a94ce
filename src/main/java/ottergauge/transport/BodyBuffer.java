// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects a message's body up to a limit; it grows with what has come, not with what was
 * announced.
 */
final class BodyBuffer {

    private static final byte[] NONE = {};
    private static final int FIRST = 256;

    private final int most;
    private byte[] bytes = NONE;
    private int length;

    BodyBuffer(int most) {
        this.most = most;
    }

    /** Takes a part; false, and nothing is taken, if the body would be larger than it may be. */
    boolean take(ByteBuf part) {
        int more = part.readableBytes();
        if (length + more > most) {
            return false;
        }
        if (length + more > bytes.length) {
            // Twice as much each time: a body that comes byte by byte is not copied with each of
            // them.
            int wanted = Math.max(length + more, Math.max(FIRST, 2 * length));
            bytes = Arrays.copyOf(bytes, Math.min(most, wanted));
        }
        part.getBytes(part.readerIndex(), bytes, length, more);
        length += more;
        return true;
    }

    byte[] bytes() {
        return bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
    }
}
