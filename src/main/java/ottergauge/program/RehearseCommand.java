// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.transport.JitWarmUp;
import ottergauge.transport.NodeServer;
import picocli.CommandLine.Command;

/**
 * Starts a node on a free loopback port, asks it a few things and ends: the build records the
 * classes that this loads in an archive, so that a node need not load them one by one.
 */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Run a node for a moment, so that the classes it loads can be recorded.")
final class RehearseCommand implements Callable<Integer> {

    private static final int READ_WITHIN_MS = 10_000;
    private static final int ASKED = 5;
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"127.0.0.1:%1$d","management":"127.0.0.1:%2$d",
             "discovery":"127.0.0.1:%1$d","seed":"1",
             "limits":{"sockets":128},
             "known":{"seq":1,"whole":true,"hosts":[
              {"host":"itself","dial":"127.0.0.1:%1$d","health":"in_service"}]},
             "settings":{"ceilings":{"probes":true,"cancel":true,"maxAttempts":2},
              "registryMode":"on_request","reporting":{"how":"answers","fields":["outstanding"]},
              "classes":[{"name":"safe","semantics":"free","hardLimitMs":300},
               {"name":"unsafe","semantics":"single_shot","hardLimitMs":300}]}}
            """;

    @Override
    public Integer call() throws IOException, ProtocolException {
        int port;
        int door;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
            door = other.getLocalPort();
        }
        Path folder = Files.createTempDirectory("rehearsal");
        try {
            return rehearse(port, door, folder);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    private Integer rehearse(int port, int door, Path folder)
            throws IOException, ProtocolException {
        NodeConfig config =
                NodeConfig.read(CONFIG.formatted(port, door).getBytes(StandardCharsets.UTF_8));
        JitWarmUp.run(config);
        NodeServer node = new NodeServer(config, Optional.of(folder));
        try {
            node.start()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(READ_WITHIN_MS, TimeUnit.MILLISECONDS)
                    .join();
            // Its own server and discovery, it goes through all that a node does on sockets, and
            // refuses.
            for (int i = 0; i < ASKED; i++) {
                ask(port, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                ask(
                        port,
                        "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
                                + i
                                + "\r\nX-Qos: safe\r\n\r\n");
                ask(
                        port,
                        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
                                + i
                                + "\r\nX-Qos: unsafe\r\n"
                                + "Content-Length: 1\r\nConnection: close\r\n\r\nx");
                ask(port, "no request\r\n\r\n");
                ask(door, "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
                ask(
                        door,
                        "POST /servers/itself/maint HTTP/1.1\r\n"
                                + "Host: x\r\n"
                                + "Content-Length: 0\r\n\r\n");
                ask(
                        door,
                        "POST /servers/itself/ready HTTP/1.1\r\n"
                                + "Host: x\r\n"
                                + "Content-Length: 0\r\n\r\n");
                ask(door, "no call\r\n\r\n");
            }
            node.reconfigure(config);
            node.stop()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(READ_WITHIN_MS, TimeUnit.MILLISECONDS)
                    .join();
            return 0;
        } catch (CompletionException e) {
            throw new IOException("the rehearsal failed", e.getCause());
        }
    }

    private static void ask(int port, String message) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_WITHIN_MS);
            socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
            if (socket.getInputStream().read() < 0) {
                throw new IOException("the node closed the connection with no answer");
            }
        }
    }
}
