// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.transport.JitWarmUp;
import ottergauge.transport.NodeServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs one node until SIGTERM; SIGHUP makes it reload its configuration. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "Run one node on sockets, until SIGTERM; SIGHUP reads the configuration again.")
final class ServeCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    @Option(
            names = "--config",
            paramLabel = "FILE",
            required = true,
            defaultValue = "${env:BALANCER_CONFIG}",
            description = "The node's configuration, as JSON; $BALANCER_CONFIG unless given.")
    private Path configFile;

    private NodeServer running;

    /** Whether a reload was requested before the node ran. */
    private boolean reloadRequested;

    ServeCommand() {}

    ServeCommand(Path configFile) {
        this.configFile = configFile;
    }

    @Override
    public Integer call() throws InterruptedException {
        handleHangUp();
        NodeConfig config;
        try {
            config = read();
        } catch (IOException | ProtocolException e) {
            LOG.error("invalid configuration {}: {}", configFile, e.toString());
            return 1;
        }
        warmUp(config);
        NodeServer node = new NodeServer(config, hotRestartDirectory(config));
        CountDownLatch failed = new CountDownLatch(1);
        // The hook is added before the node listens: whenever the node is stopped, it responds to
        // all requests that it has accepted.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, failed), "stop"));
        node.start()
                .onFailure(
                        e -> {
                            LOG.error("cannot listen on {}: {}", config.listen(), e.getMessage());
                            failed.countDown();
                        });
        started(node);
        failed.await();
        return 1;
    }

    // Without a handler, SIGHUP would end the virtual machine, and a node may be given a new
    // configuration while it is still starting. A signal that was ignored when the program was
    // started stays ignored in the virtual machine.
    private void handleHangUp() {
        SignalHandler before = Signal.handle(new Signal("HUP"), hangUp -> reload());
        if (before == SignalHandler.SIG_IGN) {
            LOG.warn(
                    "SIGHUP is ignored, as inherited from nohup: this node does not reload its"
                            + " configuration until it is restarted without nohup");
        }
    }

    // After a failure the node starts without warm-up.
    private static void warmUp(NodeConfig config) {
        try {
            LOG.info("warmed up with {} synthetic requests", JitWarmUp.run(config).requests());
        } catch (RuntimeException e) {
            LOG.error("the JIT warm-up failed, the first requests will be slow", e);
        }
    }

    private NodeConfig read() throws IOException, ProtocolException {
        return NodeConfig.read(Files.readAllBytes(configFile))
                .withAdmin(System.getenv("BALANCER_MANAGEMENT"));
    }

    // All processes of a node use the same directory; other nodes on the same machine use other
    // ones.
    private static Optional<Path> hotRestartDirectory(NodeConfig config) {
        byte[] name = config.name().getBytes(StandardCharsets.UTF_8);
        return Optional.ofNullable(System.getenv("TMPDIR"))
                .filter(parent -> !parent.isEmpty())
                .map(parent -> Path.of(parent, "ottergauge-" + UUID.nameUUIDFromBytes(name)));
    }

    private synchronized void started(NodeServer node) {
        running = node;
        if (reloadRequested) {
            reload();
        }
    }

    // An invalid file must not stop a node that serves clients: the current configuration stays in
    // effect.
    private synchronized void reload() {
        if (running == null) {
            reloadRequested = true;
            return;
        }
        try {
            running.reconfigure(read());
        } catch (IOException | ProtocolException | RuntimeException e) {
            LOG.error(
                    "invalid configuration {}, the previous one stays in effect: {}",
                    configFile,
                    e.toString());
        }
    }

    // The virtual machine exits when this returns, after all accepted requests have been responded
    // to.
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
