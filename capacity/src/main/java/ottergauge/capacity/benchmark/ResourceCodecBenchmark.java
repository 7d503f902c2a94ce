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
import ottergauge.capacity.workload.EncodedSnapshot;
import ottergauge.capacity.workload.VersionedFleet;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ChangePage;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.SnapshotPage;

/**
 * Measures reading and writing the messages of a control process: a page with one change, and all
 * pages of a snapshot.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ResourceCodecBenchmark {

    @Param("100")
    public int servers;

    @Param("1")
    public long seed;

    private EncodedSnapshot encoded;
    private ChangePage change;
    private byte[] changeBytes;

    /** Generates a state and encodes its snapshot pages and a change. */
    @Setup
    public void generate() {
        VersionedFleet fleet = VersionedFleet.generate(servers, seed);
        encoded = EncodedSnapshot.of(fleet);
        change = fleet.changePage();
        changeBytes = ResourceCodec.write(change);
    }

    /** Reads all pages of a snapshot. */
    @Benchmark
    public int readSnapshot() throws ProtocolException {
        int resources = 0;
        for (byte[] page : encoded.pages()) {
            SnapshotPage read = ResourceCodec.readSnapshotPage(page);
            Check.equal(0, read.unreadable().size());
            resources += read.resources().size();
        }
        Check.equal(encoded.resources(), resources);
        return resources;
    }

    /** Reads a page of one change. */
    @Benchmark
    public ChangePage readChange() throws ProtocolException {
        ChangePage read = ResourceCodec.readChangePage(changeBytes);
        Check.equal(1, read.changes().size());
        return read;
    }

    /** Writes a page of one change. */
    @Benchmark
    public byte[] writeChange() {
        byte[] written = ResourceCodec.write(change);
        Check.equal(changeBytes.length, written.length);
        return written;
    }
}
