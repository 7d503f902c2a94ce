// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import ottergauge.protocol.NodeConfig;

/** What the processes of one node share: who lives, what is held out, and the list of servers. */
final class HotRestartDirectory {

    private final MaintenanceStore held;
    private final HotRestartProcesses siblings;
    private final EndpointCache list;

    /** Opens the folder, which is made if need be; this process counts as living from now on. */
    HotRestartDirectory(Path folder, int mostListBytes) throws IOException {
        Files.createDirectories(folder);
        held = new MaintenanceStore(folder);
        siblings = new HotRestartProcesses(folder);
        list = new EndpointCache(folder, mostListBytes);
        siblings.appear();
    }

    MaintenanceStore held() {
        return held;
    }

    HotRestartProcesses siblings() {
        return siblings;
    }

    EndpointCache list() {
        return list;
    }

    NodeConfig freshest(NodeConfig config) {
        return list.freshest(config, siblings.look().lives());
    }
}
