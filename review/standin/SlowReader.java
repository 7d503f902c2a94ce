// SPDX-License-Identifier: Apache-2.0
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that read a long answer steadily, but slowly. */
final class SlowReader {

    private static final int CLIENTS = 8;
    private static final int ANSWER_BYTES = 6 * 1024 * 1024;
    private static final int BYTES_PER_SECOND = 64 * 1024;
    private static final int STEP = 4096;

    private final Rig rig;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    private SlowReader(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new SlowReader(rig).play());
    }

    private int play() throws Exception {
        Rig.Discovery discovery = rig.add(rig.new Discovery());
        for (int i = 1; i <= 4; i++) {
            discovery.list(rig.add(new GenerousServer("s-" + i)), "salon-a");
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
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> client(number, node.port)));
            Rig.sleep(250);
        }
        for (Thread each : clients) {
            each.join();
        }
        String sum =
                String.format(
                        "sum asked=%d whole=%d cut=%d refused-or-failed=%d",
                        CLIENTS, whole.get(), cut.get(), refused.get());
        rig.log(sum);
        System.out.println(sum);
        if (!node.isAlive() || refused.get() > CLIENTS / 2) {
            return Rig.COULD_NOT_RUN;
        }
        return cut.get() > 0 ? Rig.BROKEN : Rig.KEPT;
    }

    /** Gives each answer as fast as it is taken from it, and never ends a connection by itself. */
    private final class GenerousServer extends Rig.Server {
        GenerousServer(String name) throws IOException {
            rig.super(name, 8, 60);
        }

        @Override
        void answer(Socket socket, InputStream in, Rig.Message request, byte[] response)
                throws IOException {
            String id = request.header("x-trace-id");
            String head = "HTTP/1.1 200 OK\r\n" + loadHeader() + "Content-Length: " + ANSWER_BYTES;
            socket.getOutputStream().write((head + "\r\n\r\n").getBytes());
            byte[] part = new byte[STEP];
            int given = 0;
            try {
                for (; given < ANSWER_BYTES; given += STEP) {
                    socket.getOutputStream().write(part);
                }
                rig.log(name + " has given the whole answer to " + id);
            } catch (IOException e) {
                rig.log(name + " was giving the answer to " + id + ", byte " + given + ": " + e);
                throw e;
            }
        }
    }

    private void client(int number, int port) {
        String id = "c" + number;
        try (Rig.Client client = new Rig.Client(port)) {
            client.send(
                    "POST", "/api", Rig.fields(id, "taksit-odeme", "key-" + id, 600), "ask".getBytes());
            InputStream in = new BufferedInputStream(client.socket.getInputStream(), STEP);
            client.socket.setSoTimeout(60_000);
            Rig.Message head = Rig.readHead(in);
            if (head == null || !head.startLine.contains(" 200 ")) {
                refused.incrementAndGet();
                rig.log(id + " is answered " + (head == null ? "by a close" : head.startLine));
                return;
            }
            rig.log(id + " begins to read, " + head.header("content-length") + " bytes announced");
            read(id, in);
        } catch (IOException e) {
            cut.incrementAndGet();
            rig.log(id + " CUT: " + e);
        }
    }

    private void read(String id, InputStream in) throws IOException {
        double began = rig.ms();
        byte[] part = new byte[STEP];
        int got = 0;
        while (got < ANSWER_BYTES) {
            int count = in.read(part, 0, STEP);
            if (count < 0) {
                cut.incrementAndGet();
                rig.log(id + " CUT: closed after " + got + " bytes, " + seconds(began) + " s");
                return;
            }
            got += count;
            if (rig.trouble) {
                Rig.sleep(Math.max(0, 1000.0 * got / BYTES_PER_SECOND - (rig.ms() - began)));
            }
        }
        whole.incrementAndGet();
        rig.log(id + " has read the whole answer in " + seconds(began) + " s");
    }

    private long seconds(double began) {
        return Math.round((rig.ms() - began) / 1000);
    }
}
