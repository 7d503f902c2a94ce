// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.ProtocolException;

/** Measures reading and writing an endpoint list of discovery: the full list, and one change. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ListCodecBenchmark {

    @Param("100")
    public int servers;

    @Param("1")
    public long seed;

    private EndpointList fullList;
    private EndpointList change;
    private byte[] fullListBytes;
    private byte[] changeBytes;

    /** Generates a fleet and encodes its list and one change. */
    @Setup
    public void generate() {
        Fleet fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        fullList = fleet.fullList();
        fullListBytes = fullList.json();
        change = fleet.change();
        changeBytes = change.json();
    }

    /** Reads a full endpoint list. */
    @Benchmark
    public EndpointList readWhole() throws ProtocolException {
        EndpointList read = EndpointList.read(fullListBytes);
        Check.equal(servers, read.endpoints().size());
        return read;
    }

    /** Reads an update of one endpoint. */
    @Benchmark
    public EndpointList readChange() throws ProtocolException {
        EndpointList read = EndpointList.read(changeBytes);
        Check.equal(1, read.endpoints().size());
        return read;
    }

    /** Writes a full endpoint list. */
    @Benchmark
    public byte[] writeWhole() {
        byte[] written = fullList.json();
        Check.equal(fullListBytes.length, written.length);
        return written;
    }

    /** Writes an update of one endpoint. */
    @Benchmark
    public byte[] writeChange() {
        byte[] written = change.json();
        Check.equal(changeBytes.length, written.length);
        return written;
    }
}
