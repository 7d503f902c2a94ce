// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.ActionSink;
import ottergauge.DecisionApi.Cancel;
import ottergauge.DecisionApi.Fail;
import ottergauge.DecisionApi.Probe;
import ottergauge.DecisionApi.Refuse;
import ottergauge.DecisionApi.Send;
import ottergauge.DecisionApi.SetTimer;
import ottergauge.DecisionApi.Subscribe;

/**
 * Writes actions as messages; a part is opened by its first action, so that idle instances are left
 * out.
 */
final class ActionWriter implements ActionSink {

    private final JsonGenerator out;
    private long instance;
    private boolean open;

    ActionWriter(JsonGenerator out) {
        this.out = out;
    }

    void beginPart(long forInstance) {
        instance = forInstance;
        open = false;
    }

    void endPart() throws IOException {
        if (open) {
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    /** Says that the decision module failed. */
    void fault(String text) throws IOException {
        start("Fault");
        out.writeStringField("text", text);
        out.writeEndObject();
    }

    @Override
    public void accept(Action action) {
        try {
            write(action);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(Action action) throws IOException {
        if (action instanceof Send a) {
            start("PassOn");
            out.writeStringField("msgId", a.id());
            out.writeNumberField("server", a.server());
            millis("limitMs", a.timeout());
        } else if (action instanceof SetTimer a) {
            start("WakeMe");
            out.writeNumberField("spanMs", a.delay() / 1000.0);
            out.writeStringField("nonce", a.token());
        } else if (action instanceof Probe a) {
            start("Check");
            out.writeNumberField("server", a.server());
        } else if (action instanceof Cancel a) {
            start("Retract");
            out.writeStringField("msgId", a.id());
            out.writeNumberField("shot", a.attempt());
        } else if (action instanceof Refuse a) {
            start("OverloadReply");
            out.writeStringField("msgId", a.id());
            millis("retryAfterMs", a.retryAfter());
        } else if (action instanceof Fail a) {
            start("EndFailed");
            out.writeStringField("msgId", a.id());
        } else if (action instanceof Subscribe) {
            start("Subscribe");
            out.writeBooleanField("want", true);
        }
        out.writeEndObject();
    }

    private void millis(String key, long micros) throws IOException {
        if (micros != 0) {
            out.writeNumberField(key, micros / 1000.0);
        }
    }

    private void start(String message) throws IOException {
        if (!open) {
            out.writeStartObject();
            out.writeNumberField("nodeId", instance);
            out.writeArrayFieldStart("cmds");
            open = true;
        }
        out.writeStartObject();
        out.writeStringField("msg", message);
    }
}
