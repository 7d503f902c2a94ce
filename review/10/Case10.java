// SPDX-License-Identifier: Apache-2.0

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An upgrade: two processes of one node serve clients. A bad client sends the id of another
 * client's open request. It is owed an error or a close, and no server may get a second copy of a
 * request that must never run twice.
 */
final class Case10 {

    private static final int SERVERS = 4;
    private static final double WORK_MS = 140;
    private static final int ROUNDS = 25;
    private static final double ROUND_MS = 180;
    private static final double BEHIND_MS = 20;
    private static final long WAITS_MS = 550;

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, Case10::run);
    }

    private static int run(Path temporary, boolean trouble) throws Exception {
        List<Rig.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(
                    new Rig.Server("s-" + (i + 1), "salon-" + "abc".charAt(i % 3), WORK_MS));
        }
        Rig.Discovery discovery = new Rig.Discovery(servers);
        int port = Rig.freePort();
        Rig.Node old = process(temporary, "old", port, discovery);
        if (trouble) {
            Rig.log("the upgrade begins: a second process beside the first");
            process(temporary, "new", port, discovery);
        }
        List<Rig.Call> good = new ArrayList<>();
        List<Rig.Call> bad = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        double begin = Rig.now() + 200;
        for (int i = 0; i < ROUNDS; i++) {
            Rig.Call call = new Rig.Call("r" + i, "erteleme", 300, WAITS_MS);
            Rig.Call same = new Rig.Call("r" + i, "erteleme", 300, WAITS_MS);
            good.add(call);
            bad.add(same);
            double at = begin + i * ROUND_MS;
            clients.add(Rig.start(() -> send(call, port, at)));
            clients.add(Rig.start(() -> send(same, port, at + BEHIND_MS)));
        }
        // SIGTERM reaches the old process within 6 s of the new one's yes.
        if (trouble) {
            Rig.sleepUntil(begin + ROUNDS * ROUND_MS + 200);
            old.signal("TERM");
        }
        for (Thread client : clients) {
            client.join(5_000);
        }
        return verdict(good, bad, Rig.seenById(servers));
    }

    private static Rig.Node process(
            Path temporary, String files, int port, Rig.Discovery discovery) throws Exception {
        int management = Rig.freePort();
        String config =
                Rig.config("n1", port, discovery.port, discovery.whole())
                        .replaceFirst(
                                "\"limits\"",
                                "\"management\": \"127.0.0.1:" + management + "\", \"limits\"");
        return Rig.Node.start(temporary, "n1", files, port, management, config);
    }

    private static void send(Rig.Call call, int port, double at) {
        try {
            Rig.sleepUntil(at);
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(call.head());
                socket.getOutputStream().write(new byte[call.bodyBytes]);
                call.sentAt = Rig.now();
                socket.setSoTimeout(3_000);
                Rig.Message answer = Rig.read(new BufferedInputStream(socket.getInputStream()));
                call.end = answer == null ? "closed" : "answered";
                call.status = answer == null ? 0 : answer.status();
                call.answeredAt = Rig.now();
            }
        } catch (IOException | InterruptedException e) {
            call.end = "closed: " + e.getMessage();
        }
    }

    private static int verdict(
            List<Rig.Call> good, List<Rig.Call> bad, Map<String, List<Rig.Seen>> seen) {
        int served = 0;
        int twice = 0;
        for (int i = 0; i < good.size(); i++) {
            Rig.Call first = good.get(i);
            Rig.Call second = bad.get(i);
            List<Rig.Seen> attempts = seen.getOrDefault(first.id, List.of());
            Rig.log("client:     " + first.describe());
            Rig.log("bad client: " + second.describe());
            int run = 0;
            for (Rig.Seen attempt : attempts) {
                run += Double.isNaN(attempt.doneAt) ? 0 : 1;
                Rig.log(
                        "  at %s: last byte %.1f, begun %.1f, done %.1f"
                                .formatted(
                                        attempt.server,
                                        attempt.lastByteAt,
                                        attempt.begunAt,
                                        attempt.doneAt));
            }
            boolean wasOpen = second.sentAt < first.answeredAt;
            if (wasOpen && second.status == 200) {
                served++;
                Rig.log("SERVED the bad client of " + first.id);
            }
            if (wasOpen && run > 1) {
                twice++;
                Rig.log("RUN TWICE " + first.id);
            }
        }
        Rig.log(
                "rounds %d: bad clients served %d, requests run twice %d"
                        .formatted(good.size(), served, twice));
        return served + twice > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
