// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Effect.StreamResponse;
import ottergauge.routing.Event.ServerResponse;

/** Tests the table of docs/architecture.md: what may end an exchange in each of its phases. */
class ResponsePhasesTest {

    private static final String SERVER = endpointJson("s-1", "10.1.0.1:3000", "in_service");
    private static final int WAIT_MS = 1_000;

    /** How far the response has come. */
    enum Phase {
        AWAITING_HEAD,
        /** The length is unknown, and nothing has come since the head. */
        HEAD_ALONE,
        /** The length is unknown, and more has come since the head. */
        PROGRESSED,
        STREAMING
    }

    /** What happens in that phase. */
    enum Cause {
        ATTEMPT_TIMEOUT(810),
        DEADLINE(WAIT_MS),
        CLIENT_STALL(10_300),
        SERVER_SILENCE(30_300),
        RELOAD(0),
        DRAIN(0),
        REMOVAL(0),
        SHUTDOWN(0),
        LAST_RESPONSE(WAIT_MS + 510),
        CLIENT_LEAVES(0);

        /** How long after the request it happens. */
        final int atMs;

        Cause(int atMs) {
            this.atMs = atMs;
        }
    }

    /** What becomes of the exchange. */
    enum Outcome {
        GOES_ON,
        STREAMED,
        REFUSED,
        CLIENT_DISCONNECTED,
        SERVER_DISCONNECTED
    }

    private final RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(SERVER));
    private long client;

    private Forward requestIn(Phase phase) {
        client = node.request("grant");
        Forward forward = node.connectNext();
        long connection = forward.connection();
        node.written(forward);
        if (phase == Phase.HEAD_ALONE || phase == Phase.PROGRESSED) {
            node.handle(new Event.UnsizedResponseStarted(connection, 200, false));
        }
        if (phase == Phase.PROGRESSED) {
            node.handle(new Event.UnsizedResponseProgressed(connection));
        }
        if (phase == Phase.STREAMING) {
            node.handle(
                    new Event.StreamedResponseStarted(
                            connection,
                            new ServerResponse(200, false, LoadReport.NONE, Content.NONE, false),
                            0));
            node.expect(RelayResponse.class);
        }
        return forward;
    }

    private void cause(Cause cause) {
        switch (cause) {
            case RELOAD -> node.reconfigure(new TestConfig().withEndpoints(SERVER));
            case DRAIN -> node.receiveList(42, true, SERVER.replace("in_service", "terminating"));
            case REMOVAL -> node.receiveList(42, true);
            case SHUTDOWN, LAST_RESPONSE -> node.handle(new Event.ShutdownRequested(false));
            case CLIENT_LEAVES -> node.handle(new Event.ClientClosed(client));
            case SERVER_SILENCE -> node.letClientsReadAll();
            default -> {}
        }
        node.advanceMs(cause.atMs);
    }

    private Outcome outcome() {
        if (node.has(Respond.class)) {
            return Outcome.REFUSED;
        } else if (node.has(CloseClient.class)) {
            return Outcome.CLIENT_DISCONNECTED;
        } else if (node.has(StreamResponse.class)) {
            return Outcome.STREAMED;
        }
        return node.has(CloseUpstream.class) ? Outcome.SERVER_DISCONNECTED : Outcome.GOES_ON;
    }

    /** Guards against a timer that ends what a server still gives, and against none that does. */
    @ParameterizedTest
    @CsvSource({
        "AWAITING_HEAD,ATTEMPT_TIMEOUT,REFUSED",
        "AWAITING_HEAD,RELOAD,GOES_ON",
        "AWAITING_HEAD,DRAIN,GOES_ON",
        "AWAITING_HEAD,REMOVAL,GOES_ON",
        "AWAITING_HEAD,SHUTDOWN,GOES_ON",
        "AWAITING_HEAD,LAST_RESPONSE,REFUSED",
        "HEAD_ALONE,ATTEMPT_TIMEOUT,STREAMED",
        "HEAD_ALONE,RELOAD,GOES_ON",
        "HEAD_ALONE,DRAIN,GOES_ON",
        "HEAD_ALONE,REMOVAL,GOES_ON",
        "HEAD_ALONE,SHUTDOWN,GOES_ON",
        "HEAD_ALONE,LAST_RESPONSE,REFUSED",
        "HEAD_ALONE,CLIENT_LEAVES,SERVER_DISCONNECTED",
        "PROGRESSED,ATTEMPT_TIMEOUT,STREAMED",
        "PROGRESSED,RELOAD,GOES_ON",
        "PROGRESSED,DRAIN,GOES_ON",
        "PROGRESSED,REMOVAL,GOES_ON",
        "PROGRESSED,SHUTDOWN,GOES_ON",
        "PROGRESSED,LAST_RESPONSE,REFUSED",
        "STREAMING,ATTEMPT_TIMEOUT,GOES_ON",
        "STREAMING,DEADLINE,GOES_ON",
        "STREAMING,CLIENT_STALL,CLIENT_DISCONNECTED",
        "STREAMING,SERVER_SILENCE,CLIENT_DISCONNECTED",
        "STREAMING,RELOAD,GOES_ON",
        "STREAMING,DRAIN,GOES_ON",
        "STREAMING,REMOVAL,GOES_ON",
        "STREAMING,SHUTDOWN,GOES_ON",
        "STREAMING,LAST_RESPONSE,GOES_ON",
        "STREAMING,CLIENT_LEAVES,SERVER_DISCONNECTED"
    })
    void exchangeInThisPhase_isEndedOnlyAsTheTableSays(Phase phase, Cause cause, Outcome outcome) {
        requestIn(phase);
        cause(cause);
        assertEquals(outcome, outcome());
    }
}
