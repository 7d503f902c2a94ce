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
 * Starts a node on a free loopback port, sends it a few requests and stops it. The build records
 * the classes that this loads in a class data sharing archive, so that a node does not have to load
 * them one by one.
 */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Run a node for a moment, so that the classes it loads can be recorded.")
final class RehearseCommand implements Callable<Integer> {

    private static final int TIMEOUT_MS = 10_000;
    private static final int ROUNDS = 5;
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
        int clientPort;
        int adminPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            clientPort = free.getLocalPort();
            adminPort = other.getLocalPort();
        }
        Path directory = Files.createTempDirectory("rehearsal");
        try {
            return rehearse(clientPort, adminPort, directory);
        } finally {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    private Integer rehearse(int clientPort, int adminPort, Path directory)
            throws IOException, ProtocolException {
        NodeConfig config =
                NodeConfig.read(
                        CONFIG.formatted(clientPort, adminPort).getBytes(StandardCharsets.UTF_8));
        JitWarmUp.run(config);
        NodeServer node = new NodeServer(config, Optional.of(directory));
        try {
            node.start()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .join();
            for (int i = 0; i < ROUNDS; i++) {
                exerciseClients(clientPort, i);
                exerciseAdmin(adminPort);
            }
            node.reconfigure(config);
            node.stop()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .join();
            return 0;
        } catch (CompletionException e) {
            throw new IOException("the rehearsal failed", e.getCause());
        }
    }

    // The node is its own server and discovery: requests pass through all of its code and are
    // rejected.
    private static void exerciseClients(int port, int id) throws IOException {
        send(port, message("GET /health/ready HTTP/1.1", "Host: x"));
        send(port, message("GET /api HTTP/1.1", "Host: x", "X-Trace-Id: " + id, "X-Qos: safe"));
        send(
                port,
                message(
                                "POST /api HTTP/1.1",
                                "Host: x",
                                "X-Trace-Id: " + id,
                                "X-Qos: unsafe",
                                "Content-Length: 1",
                                "Connection: close")
                        + "x");
        send(port, message("no request"));
    }

    private static void exerciseAdmin(int port) throws IOException {
        send(port, message("GET /stats HTTP/1.1", "Host: x"));
        for (String change : new String[] {"maint", "ready"}) {
            String line = "POST /servers/itself/" + change + " HTTP/1.1";
            send(port, message(line, "Host: x", "Content-Length: 0"));
        }
        send(port, message("no call"));
    }

    private static String message(String... lines) {
        return String.join("\r\n", lines) + "\r\n\r\n";
    }

    private static void send(int port, String message) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
            if (socket.getInputStream().read() < 0) {
                throw new IOException("the node closed the connection without a response");
            }
        }
    }
}
