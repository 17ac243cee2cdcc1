package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The control VM that has acknowledged a deregistration is killed at once. */
final class DepartureLost extends Case {
    @Override
    boolean play(Path root, Record record) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Random random = new Random(seed);
        int lost = 0;
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            List<PlainServer> servers = new ArrayList<>();
            for (int i = 1; i <= 8; i++) {
                servers.add(new PlainServer(fleet, Configurations.PLAIN_SERVICE, i, runs, () -> 15 + random.nextInt(13), seed));
            }
            for (PlainServer server : servers) server.start();
            fleet.awaitReady(40_000);
            Thread.sleep(5_000);
            new Traffic(fleet, seed).start();
            Thread.sleep(2_000);
            for (int i = 0; i < 4; i++) {
                PlainServer server = servers.get(7 - i);
                Fleet.Vm control = fleet.cores.get(i % 3);
                server.deregisterAnd(control, () -> { if (trouble) control.end(); });
                long ackMs = record.nowMs();
                record.say(server.id + " acknowledged at " + ackMs);
                Thread.sleep(500);
                if (trouble) control.start();
                Thread.sleep(3_100);
                int before = server.ran.get();
                Thread.sleep(4_000);
                int reached = server.ran.get() - before;
                record.say(reached + " requests reached it from 3600 to 7600 ms after");
                if (reached > 0) lost++;
            }
        }
        return lost > 0;
    }
}
