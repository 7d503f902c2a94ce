// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.transport.NodeServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one node until it is told to stop. */
@Command(name = "serve", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
    description = "Run one node on sockets, until SIGTERM.")
final class ServeCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    @Option(names = "--config", paramLabel = "FILE", required = true, defaultValue = "${env:BALANCER_CONFIG}",
        description = "The node's configuration, as JSON; $BALANCER_CONFIG unless given.")
    private Path configFile;

    @Override
    public Integer call() throws InterruptedException {
        NodeConfig config;
        try {
            config = NodeConfig.read(Files.readAllBytes(configFile));
        } catch (IOException | ProtocolException e) {
            LOG.error("bad configuration {}: {}", configFile, e.getMessage());
            return 1;
        }
        NodeServer node = new NodeServer(config);
        CountDownLatch failed = new CountDownLatch(1);
        node.start().onFailure(e -> {
            LOG.error("cannot listen on {}: {}", config.listen(), e.getMessage());
            failed.countDown();
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, failed), "stop"));
        failed.await();
        return 1;
    }

    // The virtual machine ends once this has run: not before all that was taken is answered.
    private static void stop(NodeServer node, CountDownLatch failed) {
        if (failed.getCount() == 0) {
            return;
        }
        CountDownLatch ended = new CountDownLatch(1);
        node.stop().onComplete(done -> ended.countDown());
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
