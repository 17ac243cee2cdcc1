package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one entry VM send bodies within the limits of the configuration at the same time. */
final class Bodies {
    private static final int SMALL_CLIENTS = 12;
    private static final int LARGE_CLIENTS = 20;
    private static final int TIMEOUT_MS = 2_000;
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private static final AtomicInteger unansweredLater = new AtomicInteger();
    private static final AtomicLong longestNotReadyMs = new AtomicLong();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 3, 1, 1)) {
            exit = run(fleet, record, trouble ? 4_000_000 : 50_000);
        }
        record.note("exit " + exit);
        System.exit(exit);
    }

    private static int run(Fleet fleet, Record record, int bytes) throws Exception {
        fleet.start();
        String config = "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"app.example\",\"path_prefix\":"
            + "\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":" + TIMEOUT_MS + ",\"target_latency_ms\":121,"
            + "\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1},{\"name\":\"scan\",\"host\":\"app.example\","
            + "\"path_prefix\":\"/scan/\",\"kind\":\"unsafe\",\"timeout_ms\":10000,\"target_latency_ms\":2000,"
            + "\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1}],\"services\":[{\"name\":\"ledger\","
            + "\"health_path\":\"/health\",\"max_connections\":600,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
        if (!fleet.putFirst(config, 30_000)) return 2;
        new Server(fleet, record, "i-a", 0, "ledger", 20);
        new Server(fleet, record, "i-b", 1, "ledger", 20);
        Fleet.Vm entry = fleet.entries.get(0);
        if (!fleet.awaitReady(entry, 20_000)) return 2;
        Thread.sleep(4_000);
        long endMs = System.currentTimeMillis() + 25_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int number = i;
            threads.add(new Thread(() -> sendSmall(fleet, entry, record, number, endMs)));
        }
        threads.add(new Thread(() -> watchReadiness(fleet, entry, record, endMs)));
        threads.forEach(Thread::start);
        Thread.sleep(3_000);
        if (answered.get() == 0) return 2;
        for (int i = 0; i < LARGE_CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> sendLarge(fleet, entry, record, number, bytes));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) thread.join(40_000);
        String log = entry.log();
        int at = log.indexOf("OutOfMemoryError");
        if (at >= 0) record.note(entry.name + " logged: " + log.substring(at, Math.min(log.length(), at + 120)));
        record.note("small requests: " + answered + " answered; unanswered at timeout_ms: " + unansweredAtTimeout
            + ", of these 0.5 s later: " + unansweredLater + "; longest time without an answer of /ready: "
            + longestNotReadyMs + " ms; process alive: " + entry.process.isAlive());
        boolean isBroken = unansweredAtTimeout.get() >= 8 && unansweredLater.get() * 2 > unansweredAtTimeout.get();
        if (isBroken) record.note("BROKEN: more than half of the requests unanswered at timeout_ms stay so");
        return isBroken ? 1 : 0;
    }

    /** Sends small requests over a kept connection, and waits a second longer than the timeout of their route. */
    private static void sendSmall(Fleet fleet, Fleet.Vm entry, Record record, int number, long endMs) {
        int count = 0;
        while (System.currentTimeMillis() < endMs) {
            String id = "small-" + number + "-" + count;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
                while (System.currentTimeMillis() < endMs) {
                    id = "small-" + number + "-" + count++;
                    long sentMs = System.currentTimeMillis();
                    socket.setSoTimeout(TIMEOUT_MS + 1_000);
                    socket.getOutputStream().write(("POST /book/x HTTP/1.1\r\nHost: app.example\r\n"
                        + "X-Gentiandale-Request-Id: " + id + "\r\nX-Gentiandale-Deadline-Ms: 4000\r\n"
                        + "Content-Length: 3\r\n\r\nabc").getBytes(StandardCharsets.ISO_8859_1));
                    Fleet.Answer answer = Fleet.Answer.read(socket.getInputStream());
                    long tookMs = System.currentTimeMillis() - sentMs;
                    record.note(id + " " + (answer == null ? "closed" : answer.status) + " after " + tookMs + " ms");
                    if (tookMs >= TIMEOUT_MS) unansweredAtTimeout.incrementAndGet();
                    if (tookMs > TIMEOUT_MS + 600) unansweredLater.incrementAndGet();
                    if (answer == null) break;
                    answered.incrementAndGet();
                    Thread.sleep(150);
                }
            } catch (SocketTimeoutException e) {
                record.note(id + " no answer in " + (TIMEOUT_MS + 1_000) + " ms: " + e.getMessage());
                if (!e.getMessage().startsWith("Connect") && !e.getMessage().startsWith("connect")) {
                    unansweredAtTimeout.incrementAndGet();
                    unansweredLater.incrementAndGet();
                }
            } catch (IOException | InterruptedException e) {
                record.note(id + " " + e);
            }
        }
    }

    /** Sends one body in 2 seconds. */
    private static void sendLarge(Fleet fleet, Fleet.Vm entry, Record record, int number, int bytes) {
        String id = "large-" + number;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
            socket.setSoTimeout(11_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /scan/" + number + " HTTP/1.1\r\nHost: app.example\r\nX-Gentiandale-Request-Id: " + id
                + "\r\nX-Gentiandale-Deadline-Ms: 10000\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = new byte[bytes / 40];
            for (int i = 0; i < 40; i++) {
                out.write(part);
                Thread.sleep(50);
            }
            Fleet.Answer answer = Fleet.Answer.read(socket.getInputStream());
            record.note(id + " " + bytes + " bytes: " + (answer == null ? "closed" : answer.status));
        } catch (IOException | InterruptedException e) {
            record.note(id + " " + bytes + " bytes: " + e);
        }
    }

    private static void watchReadiness(Fleet fleet, Fleet.Vm entry, Record record, long endMs) {
        long lastMs = System.currentTimeMillis();
        while (System.currentTimeMillis() < endMs) {
            Fleet.Answer answer =
                Fleet.call(entry.ip, fleet.readyPort, "GET", "/ready", "Host: ready\r\n", new byte[0], 1_000);
            long now = System.currentTimeMillis();
            if (answer != null) lastMs = now;
            longestNotReadyMs.set(Math.max(longestNotReadyMs.get(), now - lastMs));
            if (answer == null) record.note("no answer of /ready for " + (now - lastMs) + " ms");
            Server.sleep(500);
        }
    }
}
