// SPDX-License-Identifier: Apache-2.0
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send a small request and then one with a long body. Some answers of the servers are
 * followed, some milliseconds later, by a second copy, when nothing else waits on the connection.
 */
final class EarlyAnswer {

    private static final int BODY_BYTES = 112 * 1024;
    private static final int FIRST_BYTES = 80 * 1024;
    private static final int BYTES_PER_SECOND = 64 * 1024;
    private static final int CLIENTS = 12;
    private static final double RUN_MS = 60_000;

    /** From the node's hall to that of the servers: the site has 0.28 to 0.47 ms. */
    private static final double ONE_WAY_MS = 0.4;

    private final Rig rig;
    private final Random random = new Random(7);
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();
    private final AtomicInteger servedNeverRan = new AtomicInteger();

    private EarlyAnswer(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new EarlyAnswer(rig).play());
    }

    private int play() throws Exception {
        Rig.Discovery discovery = rig.add(rig.new Discovery());
        for (int i = 1; i <= 3; i++) {
            Rig.Server server = rig.add(new CopyingServer("s-" + i));
            Rig.Relay way = rig.add(rig.new Relay(server.port, ONE_WAY_MS));
            discovery.list(server.name, way.port, "salon-b");
        }
        Rig.Node node =
                rig.add(
                        rig
                        .new Node(
                                "n1",
                                discovery,
                                Rig.settings(
                                        Rig.requestClass(
                                                "taksit-odeme", "guarded", "zone", 410, 1000, 800, 5),
                                        Rig.requestClass(
                                                "erteleme", "single_shot", "all", 410, 1000, 0, 10))));
        node.awaitReady();
        double end = rig.ms() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> client(number, node.port, end)));
        }
        for (Thread each : clients) {
            each.join();
        }
        String sum =
                String.format(
                        "sum asked=%d served=%d second-copies=%d wrong-answers=%d"
                                + " served-but-never-run=%d small-ones-crossed=%d",
                        asked.get(),
                        served.get(),
                        copies.get(),
                        foreign.get(),
                        servedNeverRan.get(),
                        crossed.get());
        rig.log(sum);
        System.out.println(sum);
        if (!node.isAlive() || served.get() < asked.get() / 2) {
            return Rig.COULD_NOT_RUN;
        }
        return foreign.get() > 0 ? Rig.BROKEN : Rig.KEPT;
    }

    /** Follows some answers by a second copy. */
    private final class CopyingServer extends Rig.Server {
        CopyingServer(String name) throws IOException {
            rig.super(name, 8, 40);
        }

        @Override
        void run(Rig.Message request) {
            ran.add(request.header("x-trace-id"));
        }

        @Override
        void answer(Socket socket, InputStream in, Rig.Message request, byte[] response)
                throws IOException {
            super.answer(socket, in, request, response);
            boolean copied;
            double delay;
            synchronized (random) {
                copied = random.nextInt(4) == 0;
                delay = 1 + 5 * random.nextDouble();
            }
            if (rig.trouble && copied) {
                Rig.sleep(delay);
                // Nothing waits on the connection: no byte of another request has come.
                if (in.available() == 0) {
                    socket.getOutputStream().write(response);
                    copies.incrementAndGet();
                    rig.log(name + " answers " + request.header("x-trace-id") + " a second time");
                }
            }
        }
    }

    private void client(int number, int port, double end) {
        Rig.sleep(70 * number);
        Rig.Client connection = null;
        for (int round = 1; rig.ms() < end; round++) {
            String small = "c" + number + "-" + round + "-small";
            String large = "c" + number + "-" + round + "-large";
            try {
                if (connection == null) {
                    connection = new Rig.Client(port);
                }
                connection.send(
                        "POST",
                        "/api",
                        Rig.fields(small, "taksit-odeme", "key-" + small, 1000),
                        "pay".getBytes());
                check(small, connection.read(2000));
                upload(connection, large);
                check(large, connection.read(2000));
            } catch (IOException e) {
                rig.log(small + " or " + large + " ended without an answer: " + e);
                try {
                    connection.close();
                } catch (IOException closed) {
                    rig.log("closing failed");
                }
                connection = null;
            }
            Rig.sleep(150);
        }
    }

    private void upload(Rig.Client connection, String id) throws IOException {
        byte[] body = new byte[BODY_BYTES];
        connection.sendHead("POST", "/api", Rig.fields(id, "erteleme", null, 1000), body.length);
        connection.write(body, 0, FIRST_BYTES);
        int step = 4096;
        for (int sent = FIRST_BYTES; sent < body.length; sent += step) {
            Rig.sleep(1000.0 * step / BYTES_PER_SECOND);
            connection.socket.setSoTimeout(1);
            connection.write(body, sent, step);
        }
    }

    private void check(String id, Rig.Message answer) throws IOException {
        asked.incrementAndGet();
        rig.log(id + " is answered " + answer.status + " \"" + answer.text() + "\"");
        if (answer.status == 200) {
            served.incrementAndGet();
            if (!answer.text().equals("the answer to " + id)) {
                if (!id.endsWith("-large")) {
                    // It was written whole before the copy came: not judged.
                    crossed.incrementAndGet();
                    rig.log(id + " crossed a second copy");
                    return;
                }
                foreign.incrementAndGet();
                boolean never = !ran.contains(id);
                servedNeverRan.addAndGet(never ? 1 : 0);
                rig.log(id + " WRONG ANSWER" + (never ? ", and no server has run it" : ""));
            }
        }
        if ("close".equalsIgnoreCase(answer.header("connection"))) {
            throw new EOFException("closed by the node after its answer");
        }
    }
}
