// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import ottergauge.protocol.NodeConfig;

/** What the processes of one node share: who lives, what is held out, and the list of servers. */
final class SharedFolder {

    private final HeldStore held;
    private final Siblings siblings;
    private final ListStore list;

    /** Opens the folder, which is made if need be; this process counts as living from now on. */
    SharedFolder(Path folder, int mostListBytes) throws IOException {
        Files.createDirectories(folder);
        held = new HeldStore(folder);
        siblings = new Siblings(folder);
        list = new ListStore(folder, mostListBytes);
        siblings.appear();
    }

    HeldStore held() {
        return held;
    }

    Siblings siblings() {
        return siblings;
    }

    ListStore list() {
        return list;
    }

    NodeConfig freshest(NodeConfig config) {
        return list.freshest(config, siblings.look().lives());
    }
}
