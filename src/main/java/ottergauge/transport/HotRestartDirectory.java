// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import ottergauge.protocol.NodeConfig;

/**
 * The state that the processes of one node share on disk: which of them are alive, the trace ids of
 * their requests, the servers in maintenance, and the endpoint list. During a hot restart, the
 * node's old process and its new one run at the same time.
 */
final class HotRestartDirectory {

    private final MaintenanceStore maintenance;
    private final HotRestartProcesses processes;
    private final EndpointCache endpoints;
    private final SharedTraceIds traceIds;

    /** Opens the directory, creates it if necessary, and registers this process in it. */
    HotRestartDirectory(Path directory, int maxListBytes) throws IOException {
        Files.createDirectories(directory);
        maintenance = new MaintenanceStore(directory);
        processes = new HotRestartProcesses(directory);
        endpoints = new EndpointCache(directory, maxListBytes);
        traceIds = new SharedTraceIds(directory, processes.ownName(), System::nanoTime);
        processes.register();
    }

    MaintenanceStore maintenance() {
        return maintenance;
    }

    HotRestartProcesses processes() {
        return processes;
    }

    EndpointCache endpoints() {
        return endpoints;
    }

    SharedTraceIds traceIds() {
        return traceIds;
    }

    /** Reads what the node's other processes have published. */
    HotRestartProcesses.OtherProcesses others() {
        HotRestartProcesses.OtherProcesses others = processes.others();
        traceIds.setOthers(others.names());
        return others;
    }

    /** Removes the files of this process. */
    void unregister() {
        processes.unregister();
        traceIds.unregister();
    }

    /** Returns the configuration with the cached endpoint list, if that is the newer one. */
    NodeConfig withCachedList(NodeConfig config) {
        return endpoints.withCachedList(config, processes.others().alive());
    }
}
