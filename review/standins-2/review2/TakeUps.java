package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All control processes are killed and back within a second; later an entry VM is killed, and callers go on elsewhere. */
final class TakeUps {
    private static final int STREAMS = 20;
    private static final int NEW_STREAMS = 20;
    private static final int CONTACT_MS = 3_000;
    private static final AtomicInteger takenUp = new AtomicInteger();
    private static final AtomicInteger wentOn = new AtomicInteger();
    private static final AtomicInteger begun = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 4, 6, 1)) {
            exit = run(fleet, record, trouble);
        }
        record.note("exit " + exit);
        System.exit(exit);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.start();
        String config = "{\"version\":1,\"routes\":[{\"name\":\"sum\",\"host\":\"app.example\",\"path_prefix\":"
            + "\"/sum/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":800,\"priority\":0,"
            + "\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}],"
            + "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":630,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":128,\"kv_capacity\":75076,\"token_kv_bytes\":96256,\"link_mbps\":"
            + "5900000.0,\"moves\":true,\"backups\":true,\"stride\":58,\"most\":12,\"kv_hold_s\":0.5,"
            + "\"stage_switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
        if (!fleet.putFirst(config, 30_000)) return 2;
        new Engine(fleet, record, "i-p1", 0, "prefill", "v1", 0);
        new Engine(fleet, record, "i-p2", 1, "prefill", "v1", 0);
        for (int i = 1; i <= 6; i++) new Engine(fleet, record, "i-d" + i, 1 + i, "decode", "v1", 0);
        for (Fleet.Vm entry : fleet.entries) if (!fleet.awaitReady(entry, 20_000)) return 2;
        Thread.sleep(5_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            threads.add(start(() -> readWithTakeUp(fleet, record, number)));
            Thread.sleep(40);
        }
        Thread.sleep(1_000);
        if (trouble) {
            for (Fleet.Vm vm : fleet.controls) vm.kill();
            Thread.sleep(500);
            for (Fleet.Vm vm : fleet.controls) vm.start(false);
        } else {
            Thread.sleep(700);
        }
        Thread.sleep(CONTACT_MS + 700);
        fleet.entries.get(0).kill();
        for (int i = 0; i < NEW_STREAMS; i++) {
            int number = i;
            threads.add(start(() -> begin(fleet, record, number)));
            Thread.sleep(40);
        }
        for (Thread thread : threads) thread.join(20_000);
        record.note("streams taken up: " + takenUp + ", of these " + wentOn + " went on; new streams: " + NEW_STREAMS
            + ", of these " + begun + " began");
        if (takenUp.get() < 12 || begun.get() == 0) return 2;
        double share = wentOn.get() / (double) takenUp.get();
        boolean isBroken = share < 0.5 * begun.get() / NEW_STREAMS;
        if (isBroken) record.note("BROKEN: the share that goes on is under half of the share of new streams that begin");
        return isBroken ? 1 : 0;
    }

    private static Thread start(Runnable action) {
        Thread thread = new Thread(action);
        thread.start();
        return thread;
    }

    /** Reads a stream of the first entry VM, and takes it up at another one when it breaks off. */
    private static void readWithTakeUp(Fleet fleet, Record record, int number) {
        long endMs = System.currentTimeMillis() + 14_000;
        String first = "stream-" + number;
        int last = read(fleet, fleet.entries.get(0), record, first, "", endMs);
        if (last <= 0 || last >= Engine.EVENTS) return;
        takenUp.incrementAndGet();
        for (int tries = 1; tries <= 4 && System.currentTimeMillis() < endMs; tries++) {
            Fleet.Vm entry = fleet.entries.get(1 + (number + tries) % 5);
            int before = last;
            last = Math.max(last, read(fleet, entry, record, first + "-again-" + tries, "Resumes: " + first
                + "\r\nLast-Event-Id: " + last + "\r\n", endMs));
            if (last > before) {
                wentOn.incrementAndGet();
                return;
            }
            Server.sleep(400);
        }
    }

    private static void begin(Fleet fleet, Record record, int number) {
        int last = read(fleet, fleet.entries.get(1 + number % 5), record, "new-" + number, "",
            System.currentTimeMillis() + 14_000);
        if (last > 0) begun.incrementAndGet();
    }

    /** Sends a request and returns the id of the last event that came, or 0 without one. */
    private static int read(Fleet fleet, Fleet.Vm entry, Record record, String id, String headers, long endMs) {
        int last = 0;
        String status = "closed";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
            socket.setSoTimeout((int) Math.max(1, endMs - System.currentTimeMillis()));
            socket.getOutputStream().write(("POST /sum/x HTTP/1.1\r\nHost: app.example\r\nX-Gentiandale-Request-Id: " + id
                + "\r\n" + headers + "X-Gentiandale-Model: m\r\nX-Gentiandale-Token-Counts: 5000,70\r\n"
                + "X-Gentiandale-Prompt-Prefix: a:200,b:4800\r\nX-Gentiandale-Deadline-Ms: "
                + Math.max(1, endMs - System.currentTimeMillis()) + "\r\nContent-Length: 2\r\n\r\n{}")
                .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            int c;
            while (!text.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n") && (c = in.read()) >= 0) text.write(c);
            String head = text.toString(StandardCharsets.ISO_8859_1);
            if (!head.isEmpty()) status = head.split(" ")[1];
            if (!status.equals("200")) {
                record.note(id + " at " + entry.name + " -> " + status);
                return 0;
            }
            StringBuilder line = new StringBuilder();
            while ((c = in.read()) >= 0) {
                if (c != '\n') {
                    line.append((char) c);
                    continue;
                }
                if (line.toString().startsWith("id: ")) last = Integer.parseInt(line.substring(4).trim());
                if (line.toString().equals("0\r")) break;
                line.setLength(0);
            }
        } catch (IOException e) {
            status += " " + e.getMessage();
        }
        record.note(id + " at " + entry.name + " -> " + status + ", last event " + last);
        return last;
    }
}
