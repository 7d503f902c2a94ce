// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

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
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.simulator.SimulatorMessage.EndpointEntry;
import ottergauge.simulator.SimulatorMessage.EndpointTable;
import ottergauge.simulator.SimulatorMessage.EndpointsChanged;
import ottergauge.simulator.SimulatorMessage.EngineEvent;
import ottergauge.simulator.SimulatorMessage.EngineExit;
import ottergauge.simulator.SimulatorMessage.EngineStart;
import ottergauge.simulator.SimulatorMessage.RequestSent;

/**
 * Hosts many isolated decision engines for the simulator: reads batches of messages and writes the
 * engines' actions. It only translates; the engines make all decisions.
 */
public final class SimulatorAdapter {

    /** Endpoint tables are numbered from 0 to one below this; numbers are reused. */
    static final int MAX_ENDPOINT_TABLES = 16;

    private static final Logger LOG = LoggerFactory.getLogger(SimulatorAdapter.class);

    private final BatchReader reader;
    private final JsonGenerator generator;
    private final ActionWriter writer;
    private final Map<Long, HostedEngine> engines = new HashMap<>();
    private final Map<Integer, List<EndpointEntry>> endpointTables = new HashMap<>();

    /** An adapter that reads from {@code in} and writes to {@code out}; it closes neither. */
    public SimulatorAdapter(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        reader = new BatchReader(factory.createParser(in));
        generator = factory.createGenerator(out, JsonEncoding.UTF8);
        generator.setRootValueSeparator(null);
        writer = new ActionWriter(generator);
    }

    /**
     * Responds to batches until the input ends.
     *
     * @throws SimulatorFormatException if the input violates the format
     * @throws IOException if the input cannot be read or the output cannot be written
     */
    public void run() throws IOException {
        try {
            Optional<BatchReader.Batch> batch = reader.next();
            while (batch.isPresent()) {
                respond(batch.get());
                batch = reader.next();
            }
        } catch (JsonProcessingException e) {
            throw new SimulatorFormatException(e.getMessage());
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private void respond(BatchReader.Batch batch) throws IOException {
        generator.writeStartObject();
        generator.writeArrayFieldStart("parts");
        for (BatchReader.Part part : batch.parts()) {
            writer.beginPart(part.engine());
            for (SimulatorMessage message : part.messages()) {
                handle(batch.time(), part.engine(), message);
            }
            writer.endPart();
        }
        generator.writeEndArray();
        generator.writeEndObject();
        generator.writeRaw('\n');
        generator.flush();
    }

    private void handle(long now, long id, SimulatorMessage message) throws IOException {
        if (message instanceof EndpointTable table) {
            endpointTables.put(table.number(), table.entries());
        } else if (message instanceof EngineStart start) {
            engines.put(id, new HostedEngine(start.seed(), start.config()));
        } else if (message instanceof EngineExit) {
            engines.remove(id);
        } else {
            decide(now, id, message);
        }
    }

    private void decide(long now, long id, SimulatorMessage message) throws IOException {
        HostedEngine engine = engines.get(id);
        if (engine == null) {
            throw new SimulatorFormatException("instance " + id + " was never started");
        }
        try {
            Optional<DecisionEvent> event = event(engine, message);
            if (event.isPresent()) {
                engine.handle(now, event.get(), writer);
            }
        } catch (SimulatorFormatException | UncheckedIOException e) {
            throw e;
        } catch (RuntimeException e) {
            LOG.error("decision engine {} failed on {}", id, message, e);
            writer.fault(e.toString());
        }
    }

    private Optional<DecisionEvent> event(HostedEngine engine, SimulatorMessage message) {
        if (message instanceof EngineEvent known) {
            return Optional.of(known.event());
        }
        if (message instanceof RequestSent request) {
            return Optional.of(engine.requestArrived(request));
        }
        if (message instanceof EndpointsChanged change) {
            List<EndpointEntry> entries = endpointTables.get(change.table());
            if (entries == null) {
                throw new SimulatorFormatException("list " + change.table() + " was never given");
            }
            return Optional.of(engine.endpointUpdate(change.scope(), entries));
        }
        return Optional.empty();
    }
}
