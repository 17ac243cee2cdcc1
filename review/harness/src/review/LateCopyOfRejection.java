package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers reject a share of the calls, and some of their answers come a second time, late, where the next answer is
 * due. Calls that must not be repeated may run once at most, and not at all if they are answered 429 or 503.
 */
final class LateCopyOfRejection extends Case {
    private static final int WINDOWS = 6;
    private static final long WINDOW_MS = 5_000;
    private static final long PAUSE_MS = 2_000;

    /** At most those of the site file: srv_grey share 0.14, x 0.45; garble "extra late" share 0.6, x 0.03. */
    private static final int SERVERS = 4;
    private static final int SHEDDING = 1;
    private static final int COPYING = 2;
    private static final double SHED_SHARE = 0.45;
    private static final double COPY_SHARE = 0.03;

    @Override
    boolean play(Path root, Record record) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Map<String, Integer> statuses;
        Random random = new Random(seed);
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            List<PlainServer> servers = new ArrayList<>();
            for (int i = 1; i <= SERVERS; i++) {
                servers.add(new PlainServer(fleet, Configurations.PLAIN_SERVICE, i, runs, () -> 15 + random.nextInt(13), seed));
            }
            for (PlainServer server : servers) server.start();
            fleet.awaitReady(40_000);
            Thread.sleep(3_000);
            Traffic traffic = new Traffic(fleet, seed);
            PlainServer.daemon(() -> disrupt(servers, record));
            traffic.sendUntil(record.nowMs() + WINDOWS * (WINDOW_MS + PAUSE_MS));
            statuses = traffic.unsafeStatuses;
            servers.forEach(server -> record.say(server.id + ": " + server.answers + " answers, "
                + server.lateCopies + " late copies"));
        }
        return judge(record, runs, statuses);
    }

    private void disrupt(List<PlainServer> servers, Record record) throws InterruptedException {
        for (int i = 0; i < WINDOWS; i++) {
            Thread.sleep(PAUSE_MS);
            record.line("window " + (i + 1) + " of " + WINDOWS + (trouble ? " begins" : ", without trouble"));
            set(servers, trouble ? SHED_SHARE : 0, trouble ? COPY_SHARE : 0);
            Thread.sleep(WINDOW_MS);
            set(servers, 0, 0);
        }
    }

    private static void set(List<PlainServer> servers, double shed, double copy) {
        servers.subList(0, SHEDDING).forEach(server -> server.shedShare = shed);
        servers.subList(0, COPYING).forEach(server -> server.lateCopyShare = copy);
    }

    private static boolean judge(Record record, Map<String, AtomicInteger> runs, Map<String, Integer> statuses) {
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, Integer> request : statuses.entrySet()) {
            AtomicInteger count = runs.get(request.getKey());
            int ran = count == null ? 0 : count.get();
            if (ran > 1) {
                twice++;
                record.say("TWICE: unsafe request " + request.getKey() + " ran " + ran + " times");
            }
            if (ran > 0 && List.of(408, 421, 429, 503).contains(request.getValue())) {
                refused++;
                record.say("REFUSED: unsafe request " + request.getKey() + " got " + request.getValue() + " and has run");
            }
        }
        record.say(statuses.size() + " unsafe requests, " + twice + " ran twice, " + refused + " refused that have run");
        return twice + refused > 0;
    }
}
