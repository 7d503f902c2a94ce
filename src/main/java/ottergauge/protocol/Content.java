// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

/** What a message carries, as the bytes that came, and the type that its sender gave or null. */
public record Content(String type, byte[] bytes) {

    public static final Content NONE = new Content(null, new byte[0]);
    private static final int DELETE = 0x7f;

    /** Leaves out a type that could not be written on as it came. */
    public Content {
        type = type != null && type.chars().allMatch(c -> c >= ' ' && c < DELETE) ? type : null;
    }
}
