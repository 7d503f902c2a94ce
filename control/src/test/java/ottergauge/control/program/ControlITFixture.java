// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;

/** Paths, requests and assertions that the tests of the packaged jar share. */
abstract class ControlITFixture {

    static final String CHANGES = "/control/v1/changes";

    @TempDir Path folder;

    static String changes(LogPosition after, String more) {
        return CHANGES + "?log=" + after.log() + "&after=" + after.version() + more;
    }

    static ChangePage page(HttpResponse<String> response) throws ProtocolException {
        assertEquals(200, response.statusCode(), response.body());
        return ResourceCodec.readChangePage(response.body().getBytes(StandardCharsets.UTF_8));
    }

    static List<Long> versions(ChangePage page) {
        return page.changes().stream().map(Change::version).toList();
    }

    static void assertRejected(int status, String expectedText, HttpResponse<String> response) {
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().contains(expectedText), response.body());
        assertFalse(response.body().contains("\n"), response.body());
    }

    static String raw(RunningControl control, String request) throws IOException {
        try (Socket socket = control.connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readToEnd(socket);
        }
    }

    static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(read);
        } catch (SocketException e) {
            // A peer that closes a connection with unread data resets it.
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }
}
