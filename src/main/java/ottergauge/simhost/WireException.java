// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

/** The input breaks the wire's format, or refers to something it never introduced. */
public final class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
