// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionAction.WatchEndpoints;
import ottergauge.decision.api.DecisionActionSink;

/**
 * Writes actions in the simulator's format. A part is opened by its first action, so that engines
 * without actions are left out.
 */
final class ActionWriter implements DecisionActionSink {

    private static final double MICROS_PER_MILLI = 1000.0;

    private final JsonGenerator out;
    private long engine;
    private boolean partOpen;

    ActionWriter(JsonGenerator out) {
        this.out = out;
    }

    /** Begins the actions of one engine. */
    void beginPart(long forEngine) {
        engine = forEngine;
        partOpen = false;
    }

    /** Ends the part that {@link #beginPart} began. */
    void endPart() throws IOException {
        if (partOpen) {
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    /** Reports that the decision engine failed on a message. */
    void fault(String text) throws IOException {
        start("Fault");
        out.writeStringField("text", text);
        out.writeEndObject();
    }

    @Override
    public void accept(DecisionAction action) {
        try {
            write(action);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(DecisionAction action) throws IOException {
        if (action instanceof SendAttempt a) {
            start("PassOn");
            out.writeStringField("msgId", a.id());
            out.writeNumberField("server", a.server());
            millis("limitMs", a.timeout());
        } else if (action instanceof SetTimer a) {
            start("WakeMe");
            out.writeNumberField("spanMs", a.delay() / MICROS_PER_MILLI);
            out.writeStringField("nonce", a.token());
        } else if (action instanceof SendProbe a) {
            start("Check");
            out.writeNumberField("server", a.server());
        } else if (action instanceof CancelAttempt a) {
            start("Retract");
            out.writeStringField("msgId", a.id());
            out.writeNumberField("shot", a.attempt());
        } else if (action instanceof RejectRequest a) {
            start("OverloadReply");
            out.writeStringField("msgId", a.id());
            millis("retryAfterMs", a.retryAfter());
        } else if (action instanceof FailRequest a) {
            start("EndFailed");
            out.writeStringField("msgId", a.id());
        } else if (action instanceof WatchEndpoints) {
            start("Subscribe");
            out.writeBooleanField("want", true);
        }
        out.writeEndObject();
    }

    private void millis(String key, long micros) throws IOException {
        if (micros != 0) {
            out.writeNumberField(key, micros / MICROS_PER_MILLI);
        }
    }

    private void start(String message) throws IOException {
        if (!partOpen) {
            out.writeStartObject();
            out.writeNumberField("nodeId", engine);
            out.writeArrayFieldStart("cmds");
            partOpen = true;
        }
        out.writeStartObject();
        out.writeStringField("msg", message);
    }
}
