package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer sends one heartbeat for a server, with a field missing and a start and count of its own. The server itself then
 * reports that it drains, which is acknowledged. No request may reach it later than drain_ms after that.
 */
final class ForeignHeartbeat extends Case {
    private static final int SERVERS = 4;
    private static final long DRAIN_MS = 2_000;
    private static final long SERVES_MS = 8_000;

    @Override
    boolean play(Path root, Record record) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Random random = new Random(seed);
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            List<PlainServer> servers = new ArrayList<>();
            for (int i = 1; i <= SERVERS; i++) {
                servers.add(new PlainServer(fleet, Configurations.PLAIN_SERVICE, i, runs, () -> 15 + random.nextInt(13), seed));
            }
            for (PlainServer server : servers) server.start();
            fleet.awaitReady(40_000);
            Thread.sleep(5_000);
            new Traffic(fleet, seed).start();
            Thread.sleep(3_000);
            PlainServer server = servers.get(SERVERS - 1);
            Fleet.Vm control = fleet.cores.get(0);
            if (trouble) {
                boolean isTaken = server.sendHeartbeat(control, server.foreignHeartbeat());
                record.say("another writer's heartbeat for " + server.id + (isTaken ? " is answered 2xx" : " is refused"));
            }
            Thread.sleep(2_000);
            if (!server.drain(control)) throw new CannotRun("the report that it drains is not acknowledged");
            long ackMs = record.nowMs();
            record.say(server.id + " drains, acknowledged at " + ackMs + " ms");
            Thread.sleep(DRAIN_MS);
            int before = server.ran.get();
            record.line("from here on, requests that reach " + server.id + " count");
            Thread.sleep(SERVES_MS - DRAIN_MS);
            int reached = server.ran.get() - before;
            record.say("DRAIN: " + reached + " requests reached and ran at " + server.id + " from " + DRAIN_MS + " to "
                + (record.nowMs() - ackMs) + " ms after the acknowledgement");
            return reached > 0;
        }
    }
}
