package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A model server starts again under its id with newer software, and a moment later another one crashes. */
final class Versions {
    private static final int DECODES = 8;
    private static final int STREAMS = 32;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 4, 2, 1)) {
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
        List<Engine> decodes = new ArrayList<>();
        for (int i = 1; i < DECODES; i++) decodes.add(new Engine(fleet, record, "i-d" + i, 1 + i, "decode", "v1", 0));
        for (Fleet.Vm entry : fleet.entries) if (!fleet.awaitReady(entry, 20_000)) return 2;
        Thread.sleep(4_000);
        Set<String> mixed = ConcurrentHashMap.newKeySet();
        Set<String> whole = ConcurrentHashMap.newKeySet();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            Thread thread = new Thread(() -> read(fleet, fleet.entries.get(number % 2), record, number, mixed, whole));
            threads.add(thread);
            thread.start();
            Thread.sleep(60);
        }
        // A further server, which has no work yet.
        Engine idle = new Engine(fleet, record, "i-d8", 1 + DECODES, "decode", "v1", 0);
        Thread.sleep(2_000);
        if (trouble) {
            idle.close();
            record.note("server i-d8 crashes, " + idle.running + " requests running");
            Thread.sleep(100);
            new Engine(fleet, record, "i-d8", 1 + DECODES, "decode", "v2", 900);
            record.note("server i-d8 starts again at its address with version v2; its first heartbeat is due in 900 ms");
            Thread.sleep(200);
            Engine busy = decodes.get(0);
            for (Engine engine : decodes) if (engine.running.get() > busy.running.get()) busy = engine;
            record.note("server " + busy.id + " crashes, " + busy.running + " requests running");
            busy.close();
        }
        for (Thread thread : threads) thread.join(20_000);
        record.note("streams: " + whole.size() + " complete, " + mixed.size()
            + " with events of two software versions: " + new TreeSet<>(mixed));
        if (whole.size() < STREAMS / 2) return 2;
        if (mixed.size() > 2) record.note("BROKEN: more than two streams hold events of two software versions");
        return mixed.size() > 2 ? 1 : 0;
    }

    private static void read(Fleet fleet, Fleet.Vm entry, Record record, int number, Set<String> mixed,
        Set<String> whole) {
        String id = "stream-" + number;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
            socket.setSoTimeout(15_000);
            socket.getOutputStream().write(("POST /sum/" + number + " HTTP/1.1\r\nHost: app.example\r\n"
                + "X-Gentiandale-Request-Id: " + id + "\r\nX-Gentiandale-Model: m\r\n"
                + "X-Gentiandale-Token-Counts: 5000,70\r\nX-Gentiandale-Prompt-Prefix: a:200," + number + ":4800\r\n"
                + "X-Gentiandale-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}")
                .getBytes(StandardCharsets.ISO_8859_1));
            Fleet.Answer answer = Fleet.Answer.read(socket.getInputStream());
            String text = answer == null ? "" : new String(answer.body, StandardCharsets.UTF_8);
            Set<String> versions = new TreeSet<>();
            int events = 0;
            for (String line : text.split("\n")) {
                if (!line.startsWith("data: ")) continue;
                versions.add(line.split(" ")[1]);
                events++;
            }
            record.note(id + " " + (answer == null ? "closed" : answer.status + (answer.isWhole ? "" : " broken off"))
                + ", " + events + " events of versions " + versions);
            if (versions.size() > 1) mixed.add(id);
            if (answer != null && answer.isWhole && events == Engine.EVENTS) whole.add(id);
        } catch (IOException e) {
            record.note(id + " " + e);
        }
    }
}
