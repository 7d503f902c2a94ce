// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Builds the response body that contains an error code or message. */
final class ErrorJson {

    /** A submission was not committed, or it is not known whether it was committed. */
    static final String NO_QUORUM = "no_quorum";

    /** This control process has not reached the version that the client has. */
    static final String BEHIND = "behind";

    /** This process has no log yet. */
    static final String STARTING = "starting";

    /** This process is shutting down. */
    static final String STOPPING = "stopping";

    /** Too many requests of this kind are pending. */
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
