// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hosts many isolated decision modules on the simulator's wire. It translates and decides nothing.
 */
public final class SimHost {

    private static final Logger LOG = LoggerFactory.getLogger(SimHost.class);
    private static final int LIST_NUMBERS = 16;

    private final MessageReader reader;
    private final JsonGenerator generator;
    private final ActionWriter writer;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final Object[] lists = new Object[LIST_NUMBERS];

    public SimHost(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        reader = new MessageReader(factory.createParser(in));
        generator = factory.createGenerator(out, JsonEncoding.UTF8);
        generator.setRootValueSeparator(null);
        writer = new ActionWriter(generator);
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        try {
            for (MessageReader.Batch batch = reader.next(); batch != null; batch = reader.next()) {
                answer(batch);
            }
        } catch (JsonProcessingException e) {
            throw new WireException(e.getMessage());
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private void answer(MessageReader.Batch batch) throws IOException {
        long now = Instance.micros(batch.timeMs());
        generator.writeStartObject();
        generator.writeArrayFieldStart("parts");
        for (MessageReader.Part part : batch.parts()) {
            writer.beginPart(part.instance());
            for (Message message : part.messages()) {
                take(now, part.instance(), message);
            }
            writer.endPart();
        }
        generator.writeEndArray();
        generator.writeEndObject();
        generator.writeRaw('\n');
        generator.flush();
    }

    private void take(long now, long id, Message m) throws IOException {
        switch (m.name) {
            case "Ledger" -> lists[listNumber(m)] = m.entries == null ? List.of() : m.entries;
            case "Start" -> start(id, m);
            case "Exit" -> instances.remove(id);
            default -> decide(now, id, m);
        }
    }

    private void start(long id, Message m) throws IOException {
        if (m.config == null) {
            throw new WireException("Start has no config");
        }
        instances.put(id, new Instance(m.seed, m.config));
    }

    private void decide(long now, long id, Message m) throws IOException {
        Instance instance = known(id);
        List<Message.Entry> entries = m.listNumber < 0 ? null : list(m);
        try {
            instance.handle(now, m, entries, writer);
        } catch (WireException | UncheckedIOException e) {
            throw e;
        } catch (RuntimeException e) {
            LOG.error("the decision module of instance {} failed on {}", id, m.name, e);
            writer.fault(e.toString());
        }
    }

    private Instance known(long id) {
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new WireException("instance " + id + " was never started");
        }
        return instance;
    }

    @SuppressWarnings("unchecked")
    private List<Message.Entry> list(Message m) {
        return (List<Message.Entry>) lists[listNumber(m)];
    }

    private static int listNumber(Message m) {
        if (m.listNumber < 0 || m.listNumber >= LIST_NUMBERS) {
            throw new WireException("list number " + m.listNumber + " is out of range");
        }
        return m.listNumber;
    }
}
