// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects a body up to a limit. It grows with the bytes that have arrived, not with the announced
 * length.
 */
final class BodyBuffer {

    private static final byte[] EMPTY = {};
    private static final int MIN_CAPACITY = 256;

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int length;

    BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends a part; returns false, and appends nothing, if the limit would be exceeded. */
    boolean append(ByteBuf part) {
        int added = part.readableBytes();
        if (length + added > maxBytes) {
            return false;
        }
        if (length + added > bytes.length) {
            // The capacity doubles, so that a body that arrives byte by byte is not copied for each
            // byte.
            int capacity = Math.max(length + added, Math.max(MIN_CAPACITY, 2 * length));
            bytes = Arrays.copyOf(bytes, Math.min(maxBytes, capacity));
        }
        part.getBytes(part.readerIndex(), bytes, length, added);
        length += added;
        return true;
    }

    /** How many bytes of memory it takes. */
    int capacity() {
        return bytes.length;
    }

    /** Returns the body; the array may be the buffer's own. */
    byte[] bytes() {
        return bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
    }
}
