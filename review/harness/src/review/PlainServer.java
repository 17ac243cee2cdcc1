package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Stand-in of a backend server of the plain service, sound unless a share of faults is set. It serves one request at a
 * time on a connection, runs [SLOTS] requests at once and queues a few more.
 */
final class PlainServer {
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int IDLE_TIMEOUT_MS = 5_000;

    final String id;
    final String address;
    private final Fleet fleet;
    private final String service;
    private final Record record;
    private final Supplier<Integer> workMs;
    private final Random random;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final Semaphore slots = new Semaphore(SLOTS);
    private final AtomicInteger present = new AtomicInteger();
    private volatile boolean isLeaving;
    private volatile String state = "ready";

    /** Runs by request id: a run begins when the server starts to work on the request. */
    final Map<String, AtomicInteger> runs;

    /** Share of the requests that are rejected with 503 although there is room; srv_grey, shed. */
    volatile double shedShare;

    /** Share of the answers of which a second copy comes late, where the next answer is due; garble, extra late. */
    volatile double lateCopyShare;

    final AtomicInteger lateCopies = new AtomicInteger();
    final AtomicInteger answers = new AtomicInteger();

    /** Runs of this server, repeated ones included. */
    final AtomicInteger ran = new AtomicInteger();

    PlainServer(
        Fleet fleet, String service, int number, Map<String, AtomicInteger> runs, Supplier<Integer> workMs, long seed
    ) {
        this.fleet = fleet;
        this.service = service;
        this.record = fleet.record;
        this.runs = runs;
        this.workMs = workMs;
        this.random = new Random(seed * 31 + number);
        id = "i-" + service + "-" + number;
        address = fleet.net + ".3." + number + ":" + fleet.serverPort;
    }

    void start() throws IOException {
        String host = address.split(":")[0];
        ServerSocket listener = new ServerSocket(fleet.serverPort, 256, InetAddress.getByName(host));
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        });
        daemon(this::sendHeartbeats);
    }

    private void sendHeartbeats() throws Exception {
        for (int node = Math.floorMod(id.hashCode(), fleet.cores.size()); !isLeaving; ) {
            if (sendHeartbeat(fleet.cores.get(node), nextHeartbeat())) {
                Thread.sleep(1_200);
            } else {
                node = (node + 1) % fleet.cores.size();
                Thread.sleep(100);
            }
        }
    }

    /** Returns the body of the next heartbeat. */
    String nextHeartbeat() {
        return """
            {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":%d,"state":"%s",\
            "cold_remaining_ms":0,"sequence":%d,"born":%d}""".formatted(
                service, address, SLOTS, state, sequence.incrementAndGet(), born);
    }

    /** Returns a heartbeat of another writer for this server: with a start and a count of its own, and a field missing. */
    String foreignHeartbeat() {
        return """
            {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":%d,"state":"ready",\
            "sequence":1,"born":%d}""".formatted(service, address, SLOTS, System.currentTimeMillis());
    }

    /** Reports from now on that the server drains; returns whether [node] has acknowledged the first report. */
    boolean drain(Fleet.Vm node) {
        state = "draining";
        return sendHeartbeat(node, nextHeartbeat());
    }

    /** Sends a heartbeat to [node] and returns whether it is acknowledged. */
    boolean sendHeartbeat(Fleet.Vm node, String body) {
        Http.Message answer = fleet.call(node, "POST", "/instances/" + id + "/heartbeat", body);
        return answer != null && answer.status() / 100 == 2;
    }

    /** Deregisters without having reported that it drains, and sends no more heartbeats. It still serves. */
    boolean deregister(Fleet.Vm node) {
        isLeaving = true;
        Http.Message answer =
            fleet.call(node, "POST", "/instances/" + id + "/deregister", "{\"born\":" + born + "}");
        return answer != null && answer.status() / 100 == 2;
    }

    /** Deregisters at [node] and calls [then] as soon as the first bytes of the acknowledgement are there. */
    void deregisterAnd(Fleet.Vm node, Runnable then) throws IOException {
        isLeaving = true;
        byte[] body = ("{\"born\":" + born + "}").getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(node.control(), 1_000);
            byte[] bytes = Http.bytes("POST /instances/" + id + "/deregister HTTP/1.1", body, "Host", node.ip);
            socket.getOutputStream().write(bytes);
            byte[] answer = new byte[12];
            int count = socket.getInputStream().read(answer);
            then.run();
            record.line(id + " got " + new String(answer, 0, count, StandardCharsets.UTF_8));
        }
    }

    private void serve(Socket socket) throws Exception {
        byte[] lateCopy = null;
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_TIMEOUT_MS);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) return;
                String requestId = request.header("X-Gentiandale-Request-Id");
                if (lateCopy != null) {
                    lateCopies.incrementAndGet();
                    record.line(id + " sends a late copy of its previous answer where the answer to " + requestId + " is due");
                    out.write(lateCopy);
                    out.flush();
                }
                byte[] answer = answer(request, requestId);
                answers.incrementAndGet();
                out.write(answer);
                out.flush();
                lateCopy = chance(lateCopyShare) ? answer : null;
            }
        } catch (IOException e) {
            record.line(id + " lost a connection: " + e.getMessage());
        }
    }

    private byte[] answer(Http.Message request, String requestId) throws InterruptedException {
        String expected = request.header("X-Gentiandale-Expect-Instance");
        if (expected != null && !expected.equals(id)) return reject(421, requestId, "meant for " + expected);
        if (requestId == null) return reject(400, null, "no request id");
        if (chance(shedShare)) return reject(503, requestId, "shed");
        if (present.incrementAndGet() > SLOTS + QUEUE) {
            present.decrementAndGet();
            return reject(503, requestId, "full");
        }
        slots.acquire();
        try {
            int count = runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
            ran.incrementAndGet();
            record.line(id + " runs " + requestId + (count > 1 ? ", run " + count : ""));
            Thread.sleep(workMs.get());
            record.line(id + " has run " + requestId);
        } finally {
            slots.release();
            present.decrementAndGet();
        }
        byte[] body = ("done " + requestId).repeat(30).getBytes(StandardCharsets.UTF_8);
        return Http.bytes("HTTP/1.1 200 OK", body, "X-Gentiandale-Request-Id", requestId,
            "X-Gentiandale-Response-Seal", "seal-" + id + "-" + requestId, "Keep-Alive", "timeout=5");
    }

    private byte[] reject(int status, String requestId, String why) {
        record.line(id + " answers " + requestId + " with " + status + " and doesn't run it: " + why);
        return Http.bytes("HTTP/1.1 " + status + " Rejected", new byte[0], "X-Gentiandale-Request-Id", requestId,
            "X-Gentiandale-Not-Executed", "1", "Keep-Alive", "timeout=5");
    }

    private boolean chance(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    interface Job {
        void run() throws Exception;
    }

    static Thread daemon(Job job) {
        Thread thread = new Thread(() -> {
            try {
                job.run();
            } catch (Exception e) {
                // The stand-in's sockets end with the process; what a run showed is in the record.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
