// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/**
 * The body of a message.
 *
 * @param type the sender's content type; null if there is none, or if it can't be forwarded
 *     unchanged
 * @param bytes the body as it was received
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; copies would be costly.
public record Content(String type, byte[] bytes) {

    /** An empty body. */
    public static final Content NONE = new Content(null, new byte[0]);

    private static final int DELETE = 0x7f;

    /** Omits a type that has characters other than printable ASCII. */
    public Content {
        type = type != null && type.chars().allMatch(c -> c >= ' ' && c < DELETE) ? type : null;
    }
}
