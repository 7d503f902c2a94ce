// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests invalid and malformed requests to the packaged jar. */
class ControlRequestValidationIT extends ControlITFixture {

    private static final String CRLF = "\r\n";
    private static final String POST_CHANGES = "POST /control/v1/changes HTTP/1.1";

    @Test
    void invalidRequests_areRejectedInOneLine() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            assertRejected(404, "no such call", control.get("/control/v2/changes"));
            assertRejected(404, "no such call", control.get("/"));
            assertRejected(400, "log is missing", control.get(CHANGES + "?after=0"));
            assertRejected(400, "after is missing", control.get(CHANGES + "?log=a"));
            assertRejected(
                    400, "after is a whole number", control.get(CHANGES + "?log=a&after=-1"));
            assertRejected(
                    400, "after is a whole number", control.get(CHANGES + "?log=a&after=1e3"));
            assertRejected(
                    400,
                    "wait_ms is a whole number",
                    control.get(CHANGES + "?log=a&after=0&wait_ms=10001"));
            assertRejected(
                    400,
                    "max_bytes is",
                    control.get(CHANGES + "?log=a&after=0&max_bytes=999999999"));
            assertRejected(
                    400, "services is", control.get(CHANGES + "?log=a&after=0&services=a,,b"));
            assertRejected(400, "node is", control.get(CHANGES + "?log=a&after=0&node=%0a%0dx"));
            assertRejected(400, "from is", control.get("/control/v1/snapshot?from=server"));
            assertRejected(400, "from is", control.get("/control/v1/snapshot?from=sever/a"));
            assertRejected(400, "no JSON", control.post("{\"id\":"));
            assertRejected(400, "no JSON", control.post("[".repeat(100_000)));
            assertRejected(400, "id", control.post("{}"));
            assertRejected(413, "262144 bytes", control.post("x".repeat(300_000)));
            assertEquals(0, control.position().version());
        }
    }

    private static void assertRawStatus(String statusLine, RunningControl control, String request)
            throws IOException {
        String response = raw(control, request);
        assertTrue(response.startsWith(statusLine), response);
    }

    private static void assertRawContains(String text, RunningControl control, String request)
            throws IOException {
        String response = raw(control, request);
        assertTrue(response.contains(text), response);
    }

    /** A request with this request line and these headers, each followed by CR and LF. */
    private static String request(String body, String... headLines) {
        return String.join(CRLF, headLines) + CRLF + CRLF + body;
    }

    @Test
    void malformedRequest_isRejectedAndItsConnectionClosed() throws Exception {
        try (RunningControl control = RunningControl.serving(folder, "")) {
            assertRawStatus("HTTP/1.0 400", control, request("", "nonsense"));
            assertRawStatus("HTTP/1.0 400", control, request("", "GET / nonsense"));
            assertRawContains(
                    " 414 ", control, request("", "GET /" + "a".repeat(70_000) + " HTTP/1.1"));
            assertRawContains(
                    " 431 ", control, request("", "GET / HTTP/1.1", "X: " + "a".repeat(20_000)));
            assertRawStatus(
                    "HTTP/1.1 400",
                    control,
                    request("hello", "GET /control/v1/status HTTP/1.1", "Content-Length: 5"));
            assertRawStatus(
                    "HTTP/1.1 404",
                    control,
                    request("", "PUT /control/v1/changes HTTP/1.1", "Content-Length: 0"));
            assertRawStatus(
                    "HTTP/1.1 413", control, request("", POST_CHANGES, "Content-Length: 99999999"));
            assertRawStatus(
                    "HTTP/1.1 400", control, request("", POST_CHANGES, "Content-Length: x"));
            String chunk = "20000" + CRLF + "x".repeat(0x20000) + CRLF;
            assertRawStatus(
                    "HTTP/1.1 413",
                    control,
                    request(
                            chunk.repeat(3) + "0" + CRLF + CRLF,
                            POST_CHANGES,
                            "Transfer-Encoding: chunked"));
            assertEquals(200, control.get("/control/v1/status").statusCode());
        }
    }
}
