// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.control.config.ConfigException;
import ottergauge.control.config.ControlProcessConfig;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.InMemoryConsensus;
import ottergauge.control.consensus.SharedLog;
import ottergauge.control.server.ControlServer;
import ottergauge.resources.FieldError;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a control process until SIGTERM. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Run one control process, until SIGTERM.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {" 1:invalid configuration, or the address is in use", " 2:wrong usage"})
final class ServeCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    @Option(
            names = "--config",
            paramLabel = "FILE",
            required = true,
            description = "The process' configuration, as JSON.")
    private Path configFile;

    @Override
    public Integer call() throws InterruptedException {
        ControlProcessConfig config;
        try {
            config = ControlProcessConfig.read(Files.readAllBytes(configFile));
        } catch (ConfigException e) {
            for (FieldError error : e.errors()) {
                LOG.error("invalid configuration {}: {}", configFile, error);
            }
            return 1;
        } catch (IOException e) {
            LOG.error("configuration {} can't be read: {}", configFile, e.toString());
            return 1;
        }
        return run(config);
    }

    private static int run(ControlProcessConfig config) throws InterruptedException {
        SharedLog log = new SharedLog();
        Consensus consensus = new InMemoryConsensus(config.name(), log, config.retention());
        ControlServer server = new ControlServer(config, log, consensus);
        CountDownLatch failed = new CountDownLatch(1);
        Thread stop = new Thread(() -> stop(config, server, consensus), "stop");
        Runtime.getRuntime().addShutdownHook(stop);
        server.start()
                .onFailure(
                        e -> {
                            LOG.error("cannot listen on {}: {}", config.listen(), e.getMessage());
                            failed.countDown();
                        });
        failed.await();
        Runtime.getRuntime().removeShutdownHook(stop);
        consensus.close();
        return 1;
    }

    // The shutdown hook. Waits until the server has stopped, which takes a bounded time; the JVM
    // exits afterwards.
    private static void stop(
            ControlProcessConfig config, ControlServer server, Consensus consensus) {
        CountDownLatch ended = new CountDownLatch(1);
        server.stop().onComplete(done -> ended.countDown());
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        consensus.close();
        LOG.info("{} stopped: all pending requests responded to", config.name());
    }
}
