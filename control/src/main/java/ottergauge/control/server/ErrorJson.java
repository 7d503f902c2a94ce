// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The body of an answer that says what went wrong. */
final class ErrorJson {

    /** A submission isn't accepted, or isn't known to be. */
    static final String NO_QUORUM = "no_quorum";

    /** This process hasn't reached the version that the caller has. */
    static final String BEHIND = "behind";

    /** This process has no log yet. */
    static final String STARTING = "starting";

    /** This process ends. */
    static final String STOPPING = "stopping";

    /** There is no room for another call of this kind. */
    static final String BUSY = "busy";

    private static final JsonFactory JSON = new JsonFactory();

    private ErrorJson() {}

    static byte[] of(String error) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("error", error);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
