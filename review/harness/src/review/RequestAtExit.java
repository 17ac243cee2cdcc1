package review;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The three front VMs of a zone are stopped and started in turn, 1.3 s apart. No request that a server has got may end
 * without an answer.
 */
final class RequestAtExit extends Case {
    private static final int SERVERS = 4;
    private static final int ROLLS = 10;
    private static final long GAP_MS = 1_300;
    private static final long GRACE_MS = 8_000;
    private static final long RESTART_DELAY_MS = 100;

    /** Plain requests of the zone erie-shore: its share of the 47.2 a second of the sheet. */
    private static final double REQUESTS_PER_S = 13.0;
    private static final int CLIENTS = 18;
    private static final long DEADLINE_MS = 1_000;

    /** Time from the last end of a roll until all are in rotation again. */
    private static final long PAUSE_MS = 2_600;

    /** Time limit of the route; a request that has reached it is excused. */
    private static final long ROUTE_TIMEOUT_MS = 600;

    /** Time after SIGTERM for which the stop counts as planned work: grace_s and 1 s. */
    private static final long PLANNED_MS = GRACE_MS + 1_000;

    private final Map<String, List<Long>> stopsMs = new ConcurrentHashMap<>();
    private volatile boolean isDone;

    private record Sent(Caller.Answer answer, String front, long sentMs, long endMs) { }

    @Override
    boolean play(Path root, Record record) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        List<Sent> all = Collections.synchronizedList(new ArrayList<>());
        Random random = new Random(seed);
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-a", "zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            for (int i = 1; i <= SERVERS; i++) {
                new PlainServer(fleet, Configurations.PLAIN_SERVICE, i, runs, () -> 10 + random.nextInt(24), seed).start();
            }
            fleet.awaitReady(40_000);
            Thread.sleep(3_000);
            Platform platform = new Platform(fleet);
            platform.start();
            ExecutorService clients = Executors.newCachedThreadPool(job -> {
                Thread thread = new Thread(job);
                thread.setDaemon(true);
                return thread;
            });
            Caller[] callers = new Caller[CLIENTS];
            for (int i = 0; i < CLIENTS; i++) callers[i] = new Caller(record, "c" + i);
            PlainServer.daemon(() -> {
                Random arrivals = new Random(seed);
                while (!isDone) {
                    Thread.sleep((long) (-Math.log(1 - arrivals.nextDouble()) * 1_000 / REQUESTS_PER_S));
                    int client = arrivals.nextInt(CLIENTS);
                    clients.submit(() -> {
                        long sentMs = record.nowMs();
                        InetSocketAddress front = platform.choose("zone-a", client * 7919);
                        Caller.Answer answer = callers[client].send(front, true, "POST", Configurations.BOOK + "1",
                            "book a pitch".repeat(50).getBytes(StandardCharsets.UTF_8), DEADLINE_MS);
                        all.add(new Sent(answer, front.getHostString(), sentMs, record.nowMs()));
                    });
                }
            });
            Thread.sleep(2_000);
            for (int i = 0; i < ROLLS; i++) roll(fleet);
            isDone = true;
            Thread.sleep(2 * DEADLINE_MS);
        }
        int lost = 0;
        int unread = 0;
        for (Sent sent : List.copyOf(all)) {
            if (sent.answer.status() != 0) continue;
            boolean hasRun = runs.containsKey(sent.answer.requestId());
            boolean isPlanned = stopsMs.getOrDefault(sent.front, List.of()).stream()
                .anyMatch(stop -> sent.sentMs >= stop && sent.endMs <= stop + PLANNED_MS);
            if (hasRun && (!isPlanned || sent.endMs - sent.sentMs >= ROUTE_TIMEOUT_MS)) {
                record.line("excused: " + sent.answer.requestId());
            } else if (hasRun) {
                lost++;
                record.say("LOST: " + sent.answer.requestId() + " to " + sent.front + " at " + sent.sentMs
                    + " ms ended at " + sent.endMs + " ms without an answer; a server has run it");
            } else {
                unread++;
            }
        }
        record.say(all.size() + " requests, " + lost + " lost after a server had them, " + unread + " not read");
        return lost > 0;
    }

    private void roll(Fleet fleet) throws Exception {
        List<Thread> stops = new ArrayList<>();
        for (Fleet.Vm front : fleet.fronts.subList(0, 3)) {
            if (trouble) {
                stops.add(PlainServer.daemon(() -> {
                    stopsMs.computeIfAbsent(front.ip, ip -> Collections.synchronizedList(new ArrayList<>()))
                        .add(fleet.record.nowMs());
                    front.signal("TERM");
                    front.awaitEnd(GRACE_MS);
                    Thread.sleep(RESTART_DELAY_MS);
                    front.start();
                }));
            }
            Thread.sleep(GAP_MS);
        }
        for (Thread stop : stops) stop.join();
        Thread.sleep(PAUSE_MS);
    }
}
